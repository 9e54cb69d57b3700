// Package brassignment provides the duty that assigns requests to backend servers.
//
// It owns this VM's view of the servers and of their load. A request that no server
// has room for is queued until a slot becomes free or its wait expires.
//
// # Usage
//
//	assigner := brassignment.New(clock, self, aggregator, detector, journal)
//	replicator.Subscribe(assigner.Views())
//	group.Start(assigner.Duty())
//	assignment, err := assigner.Place(ctx, query, 50*time.Millisecond)
//	assigner.ReportOutcome(outcome, result)
package brassignment

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/decide/brretry"
	"bergamotroad.example/bergamotroad/internal/duty/braggregator"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

const (
	queueCapacity = 2048 // messages
	queueReserve  = 2048 // messages that report the end of a request
	// rescanInterval is the interval between scans of the queue. Scans are needed because the
	// estimated load of a server may fall without a message to the duty.
	rescanInterval = 15 * time.Millisecond
	idlePeriod     = time.Second
)

type kind int

const (
	kindPlace kind = iota
	kindRetry
	kindOutcome
	kindExposures
)

type message struct {
	kind      kind
	query     brplacement.Query
	maxWait   time.Duration
	reply     brring.Reply[Assignment]
	outcome   brplacement.Outcome
	result    VersionResult
	exposures map[string]brplacement.Exposure
}

// PoisonDetector detects requests that crash servers.
type PoisonDetector interface {
	// ReportCrash reports that a server crashed while it ran a request.
	ReportCrash(fingerprint brrequest.Fingerprint, server string)
}

// Journal logs changes in the state of servers.
type Journal interface {
	// StateChange logs a change in the VM's view of the system.
	StateChange(change string, fields ...any)
}

// Values of the metric's label for what servers say in their responses.
const (
	noticeLeaving = "leaving"
	noticeQuiet   = "quiet"
)

// Assignment is the server assigned to a request, or none. It is immutable.
type Assignment struct {
	choice        brplacement.Choice
	assigned      bool
	hasCandidates bool
	retryAfter    time.Duration
	waiting       int
}

// Choice returns the chosen server.
func (a Assignment) Choice() brplacement.Choice { return a.choice }

// Assigned reports whether a server was chosen.
func (a Assignment) Assigned() bool { return a.assigned }

// HasCandidates reports whether any server may run the request now, whatever its load.
func (a Assignment) HasCandidates() bool { return a.hasCandidates }

// RetryAfter returns the time until a server wants requests again if all servers that may
// run the request want none now, or else 0.
func (a Assignment) RetryAfter() time.Duration { return a.retryAfter }

// Waiting returns the number of requests in the queue.
func (a Assignment) Waiting() int { return a.waiting }

// VersionResult is how a response counts for the version of its server in a rollout. It is
// immutable.
type VersionResult struct {
	service string
	version string
	bad     bool
	counted bool
}

// NewVersionResult returns the result of a response from a version of a service.
func NewVersionResult(service, version string, bad bool) VersionResult {
	return VersionResult{service: service, version: version, bad: bad, counted: true}
}

// Assigner is the duty and its client methods, which may be called concurrently.
type Assigner struct {
	duty    *brduty.Duty[message, *brfleet.View]
	answers *brring.ReplyPool[Assignment]
	notices *prometheus.CounterVec
	moves   *prometheus.CounterVec
}

// New returns the duty of a VM.
func New(clock brclock.Clock, self brfleet.VM, aggregator *braggregator.Aggregator, detector PoisonDetector, journal Journal) *Assigner {
	notices := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bergamotroad_server_notices_total",
		Help: "Responses by which a server said that it shuts down (leaving), or for how long it wants no requests (quiet).",
	}, []string{"notice"})
	moves := newMoveReporter(journal)
	h := &handler{
		clock: clock, placer: brplacement.New(self.Name(), self.Region()), retryBudget: brretry.NewBudget(),
		aggregator: aggregator, detector: detector,
		view: &brfleet.View{}, tallies: map[uint64]brstatus.Tally{},
		journal: journal, notices: notices, moves: moves,
	}
	return &Assigner{
		duty: brduty.New[message, *brfleet.View]("placing", h, clock,
			brduty.WithCapacity(queueCapacity), brduty.WithReserve(queueReserve), brduty.WithPeriod(idlePeriod)),
		answers: brring.NewReplyPool[Assignment](),
		notices: notices,
		moves:   moves.total,
	}
}

// Collectors returns the duty's metrics.
func (a *Assigner) Collectors() []prometheus.Collector {
	return []prometheus.Collector{a.notices, a.moves}
}

// Duty returns the duty for a group to start.
func (a *Assigner) Duty() brduty.Runner { return a.duty }

// Views returns the ring that receives views of the fleet.
func (a *Assigner) Views() *brring.Latest[*brfleet.View] { return a.duty.Snapshots() }

// Place assigns a request to a server. If none has room, the request is queued for at
// most the given time.
func (a *Assigner) Place(ctx context.Context, query brplacement.Query, maxWait time.Duration) (Assignment, error) {
	return a.ask(ctx, message{kind: kindPlace, query: query, maxWait: maxWait})
}

// Retry assigns a request to another server without queueing it. The assignment has no
// server if none has room or the retry budget is spent.
func (a *Assigner) Retry(ctx context.Context, query brplacement.Query) (Assignment, error) {
	return a.ask(ctx, message{kind: kindRetry, query: query})
}

func (a *Assigner) ask(ctx context.Context, m message) (Assignment, error) {
	answer, err := brring.Ask(ctx, a.duty.Queue(), a.answers, func(reply brring.Reply[Assignment]) message {
		m.reply = reply
		return m
	})
	if err != nil {
		return Assignment{}, errors.Errorf("assign request to server: %w", err)
	}
	return answer, nil
}

// ReportOutcome reports how a request ended at its server, and how that counts for the
// server's version.
func (a *Assigner) ReportOutcome(outcome brplacement.Outcome, result VersionResult) {
	_ = a.duty.Queue().SendReserved(message{kind: kindOutcome, outcome: outcome, result: result})
}

// SetExposures sets the share of requests that this VM may send to the new version of each
// rollout, by service.
func (a *Assigner) SetExposures(exposures map[string]brplacement.Exposure) {
	_ = a.duty.Queue().SendReserved(message{kind: kindExposures, exposures: exposures})
}
