// Package brassignment provides the duty that assigns requests to backend servers.
//
// It owns this VM's view of the servers and of their load. A request that no server
// has room for is queued until a slot becomes free or its wait expires.
//
// # Usage
//
//	assigner := brassignment.New(clock, self, bounds, aggregator, detector, journal)
//	replicator.Subscribe(assigner.Views())
//	group.Start(assigner.Duty())
//	assignment, err := assigner.Place(ctx, query, 50*time.Millisecond, func(choice brplacement.Choice) (brplacement.Outcome, brassignment.VersionResult) {
//		// send the request to choice.Server()
//		return outcome, result
//	})
//
// A server's slot is taken when the request is assigned to it, and released when the
// function returns or panics, or if the caller's context ends first.
package brassignment

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/duty/braggregator"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	queueCapacity = 2048 // messages
	// maxOpen bounds the requests that ask for a server or have one. Each of them sends at
	// most one message that releases its slot, and the queue's reserve has room for all of
	// these: a slot whose release was rejected would stay occupied. A VM has at most 8,192
	// file descriptors, and each caller uses one.
	maxOpen = 8192
	// exposuresReserve is the part of the reserve for messages that set exposures, which are
	// sent at most once per evaluation of the rollouts.
	exposuresReserve = 64
	queueReserve     = maxOpen + exposuresReserve
	// rescanInterval is the interval between scans of the queue. Scans are needed because the
	// estimated load of a server may fall without a message to the duty.
	rescanInterval = 15 * time.Millisecond
	idlePeriod     = time.Second
	// exchangeInterval is the interval at which the loads of servers are exchanged with other
	// VMs. Reports to them are sent about as often.
	// retryMargin is the part of the allowed retries that is used: windows of VMs and of the
	// operators' count don't coincide.
	retryMargin      = 0.8
	exchangeInterval = 150 * time.Millisecond
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
	ending    *ending // a pointer, which keeps the ring's messages small
	exposures map[string]brplacement.Exposure
}

// ending is how an attempt at a server ended.
type ending struct {
	outcome     brplacement.Outcome
	result      VersionResult
	unsentRetry bool // a retry that was assigned a server, but not sent
}

// Attempt sends a request to the chosen server, and returns how that ended and how it counts
// for the server's version.
type Attempt func(choice brplacement.Choice) (brplacement.Outcome, VersionResult)

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

// Assigner is the duty and its client methods, which may be called concurrently.
type Assigner struct {
	duty       *brduty.Duty[message, *brfleet.View]
	answers    *brring.ReplyPool[Assignment]
	collectors []prometheus.Collector
	open       *atomic.Int64 // requests that ask for a server or have one
}

// New returns the duty of a VM.
func New(clock brclock.Clock, self brfleet.VM, bounds brfleet.Bounds, aggregator *braggregator.Aggregator, detector PoisonDetector, journal Journal) *Assigner {
	return newAssigner(clock, newHandler(clock, self, bounds, aggregator, detector, journal))
}

func newAssigner(clock brclock.Clock, h *handler) *Assigner {
	return &Assigner{
		duty: brduty.New[message, *brfleet.View]("placing", h, clock,
			brduty.WithCapacity(queueCapacity), brduty.WithReserve(queueReserve), brduty.WithPeriod(idlePeriod)),
		answers:    brring.NewReplyPool[Assignment](),
		collectors: append(h.metrics.collectors(), h.moves.total),
		open:       &h.open,
	}
}

// Collectors returns the duty's metrics.
func (a *Assigner) Collectors() []prometheus.Collector { return a.collectors }

// Duty returns the duty for a group to start.
func (a *Assigner) Duty() brduty.Runner { return a.duty }

// Views returns the ring that receives views of the fleet.
func (a *Assigner) Views() *brring.Latest[*brfleet.View] { return a.duty.Snapshots() }

// Place assigns a request to a server and calls attempt with it. If no server has room, the
// request is queued for at most the given time. Without a server, or if the context ends
// first, attempt is not called.
func (a *Assigner) Place(ctx context.Context, query brplacement.Query, maxWait time.Duration, attempt Attempt) (Assignment, error) {
	return a.assign(ctx, message{kind: kindPlace, query: query, maxWait: maxWait}, attempt)
}

// Retry assigns a request to another server, without queueing it, and calls attempt with it.
// The assignment has no server if none has room or the retry budget is spent.
func (a *Assigner) Retry(ctx context.Context, query brplacement.Query, attempt Attempt) (Assignment, error) {
	return a.assign(ctx, message{kind: kindRetry, query: query}, attempt)
}

// assign asks for a server and makes the attempt. If the caller stops waiting, the duty
// learns so from its answer and takes the slot back.
func (a *Assigner) assign(ctx context.Context, m message, attempt Attempt) (Assignment, error) {
	if a.open.Add(1) > maxOpen {
		a.open.Add(-1)
		return Assignment{}, errors.Errorf("assign request to server: %d other requests are in progress", maxOpen)
	}
	assignment, err := brring.Ask(ctx, a.duty.Queue(), a.answers, func(reply brring.Reply[Assignment]) message {
		m.reply = reply
		return m
	})
	if err != nil || !assignment.Assigned() {
		a.open.Add(-1)
	}
	if err == nil && assignment.Assigned() {
		err = a.use(ctx, assignment.Choice(), m.kind == kindRetry, attempt)
	}
	if err != nil {
		return Assignment{}, errors.Errorf("assign request to server: %w", err)
	}
	return assignment, nil
}

// use makes the attempt at the assigned server, unless the context has ended, and releases
// the slot also if the attempt panics.
func (a *Assigner) use(ctx context.Context, choice brplacement.Choice, isRetry bool, attempt Attempt) error {
	end := &ending{outcome: brplacement.NewOutcome(choice.Server(), brrequest.OutcomeCancelled, 0), unsentRetry: isRetry}
	defer func() { _ = a.duty.Queue().SendReserved(message{kind: kindOutcome, ending: end}) }()
	if ctx.Err() != nil {
		return errors.Errorf("context ended as a server was assigned: %w", context.Cause(ctx))
	}
	end.unsentRetry = false
	outcome, result := attempt(choice)
	*end = ending{outcome: outcome.WithServer(choice.Server()), result: result}
	return nil
}

// SetExposures sets the share of requests that this VM may send to the new version of each
// rollout, by service.
func (a *Assigner) SetExposures(exposures map[string]brplacement.Exposure) {
	_ = a.duty.Queue().SendReserved(message{kind: kindExposures, exposures: exposures})
}
