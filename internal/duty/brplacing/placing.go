// Package brplacing provides the duty that assigns requests to backend servers.
//
// It owns this VM's view of the servers and of their load. A request that no server
// has room for is queued until a slot becomes free or its wait expires.
//
// # Usage
//
//	placing := brplacing.New(clock, self, counting, poisoning)
//	replicating.Subscribe(placing.Views())
//	answer, err := placing.Place(ctx, ask, 50*time.Millisecond)
//	placing.Settle(outcome)
package brplacing

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brplace"
	"bergamotroad.example/bergamotroad/internal/decide/brretry"
	"bergamotroad.example/bergamotroad/internal/duty/brcounting"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/model/brstanding"
)

const (
	queueCapacity = 2048 // messages
	queueReserve  = 2048 // messages that report the end of a request
	// rescanInterval is the interval between scans of the queue: the estimated load of a server
	// may fall without a message that says so.
	rescanInterval = 15 * time.Millisecond
	idlePeriod     = time.Second
)

type kind int

const (
	kindPlace kind = iota
	kindRetry
	kindSettle
	kindExpose
)

type message struct {
	kind      kind
	ask       brplace.Query
	maxWait   time.Duration
	reply     brring.Reply[Answer]
	outcome   brplace.Outcome
	verdict   Verdict
	exposures map[string]brplace.Exposure
}

// Poisoning detects requests that make servers die.
type Poisoning interface {
	// Killed reports that a server died while it ran a request.
	Killed(fingerprint brrequest.Fingerprint, server string)
}

// Answer is the server assigned to a request, or none. It is immutable.
type Answer struct {
	choice        brplace.Choice
	assigned      bool
	hasCandidates bool
	waiting       int
}

// Choice returns the chosen server.
func (a Answer) Choice() brplace.Choice { return a.choice }

// Placed reports whether a server was chosen.
func (a Answer) Placed() bool { return a.assigned }

// Possible reports whether any server may run the request, whatever its load.
func (a Answer) Possible() bool { return a.hasCandidates }

// Waiting returns the number of requests in the queue.
func (a Answer) Waiting() int { return a.waiting }

// Verdict is how an answer counts for the version of its server in a rollout. It is
// immutable.
type Verdict struct {
	service string
	version string
	bad     bool
	counted bool
}

// NewVerdict returns the verdict of an answer from a version of a service.
func NewVerdict(service, version string, bad bool) Verdict {
	return Verdict{service: service, version: version, bad: bad, counted: true}
}

// Placing is the duty and its client methods, which may be called concurrently.
type Placing struct {
	duty    *brduty.Duty[message, *brfleet.View]
	answers *brring.ReplyPool[Answer]
}

// New returns the duty of a VM.
func New(clock brclock.Clock, self brfleet.VM, counting *brcounting.Counting, poisoning Poisoning) *Placing {
	h := &handler{
		clock: clock, placer: brplace.New(self.Name(), self.Region()), retryBudget: brretry.NewBudget(),
		counting: counting, poisoning: poisoning,
		view: &brfleet.View{}, tallies: map[uint64]brstanding.Tally{},
	}
	return &Placing{
		duty: brduty.New[message, *brfleet.View]("placing", h, clock,
			brduty.WithCapacity(queueCapacity), brduty.WithReserve(queueReserve), brduty.WithPeriod(idlePeriod)),
		answers: brring.NewReplyPool[Answer](),
	}
}

// Duty returns the duty for a group to start.
func (a *Placing) Duty() brduty.Runner { return a.duty }

// Views returns the ring that receives views of the fleet.
func (a *Placing) Views() *brring.Latest[*brfleet.View] { return a.duty.Snapshots() }

// Place assigns a request to a server. If none has room, the request is queued for at
// most the given time.
func (a *Placing) Place(ctx context.Context, ask brplace.Query, maxWait time.Duration) (Answer, error) {
	return a.ask(ctx, message{kind: kindPlace, ask: ask, maxWait: maxWait})
}

// Retry assigns a request to another server without queueing it. The answer names none
// if no server has room or the retry budget is spent.
func (a *Placing) Retry(ctx context.Context, ask brplace.Query) (Answer, error) {
	return a.ask(ctx, message{kind: kindRetry, ask: ask})
}

func (a *Placing) ask(ctx context.Context, m message) (Answer, error) {
	answer, err := brring.Ask(ctx, a.duty.Queue(), a.answers, func(reply brring.Reply[Answer]) message {
		m.reply = reply
		return m
	})
	if err != nil {
		return Answer{}, errors.Errorf("assign request to server: %w", err)
	}
	return answer, nil
}

// Settle reports how a request ended at its server, and how that counts for the
// server's version.
func (a *Placing) Settle(outcome brplace.Outcome, verdict Verdict) {
	_ = a.duty.Queue().SendReserved(message{kind: kindSettle, outcome: outcome, verdict: verdict})
}

// Expose sets the share of requests that this VM may send to the new version of each
// rollout, by service.
func (a *Placing) Expose(exposures map[string]brplace.Exposure) {
	_ = a.duty.Queue().SendReserved(message{kind: kindExpose, exposures: exposures})
}
