// Package brplacing provides the duty that owns what this VM believes of the
// backend servers, gives each request a server, and lets requests wait for one.
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
	queueReserve  = 2048 // messages, for the ends of requests
	// rescan is how often requests that wait are offered to servers whose load
	// is believed to have gone down.
	rescan = 15 * time.Millisecond
	idle   = time.Second
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
	ask       brplace.Ask
	patience  time.Duration
	reply     brring.Reply[Answer]
	outcome   brplace.Outcome
	verdict   Verdict
	exposures map[string]brplace.Exposure
}

// Poisoning knows the requests of which servers die.
type Poisoning interface {
	// Killed tells that a server died while it ran a request.
	Killed(fingerprint brrequest.Fingerprint, server string)
}

// Answer is a server for a request, or none. It is immutable.
type Answer struct {
	choice   brplace.Choice
	placed   bool
	possible bool
	waiting  int
}

// Choice returns the server that was chosen.
func (a Answer) Choice() brplace.Choice { return a.choice }

// Placed reports whether a server was chosen.
func (a Answer) Placed() bool { return a.placed }

// Possible reports whether any server may run the request, whatever its load.
func (a Answer) Possible() bool { return a.possible }

// Waiting returns how many other requests wait for a server.
func (a Answer) Waiting() int { return a.waiting }

// Verdict says what an answer means for the version of its server. It is immutable.
type Verdict struct {
	service string
	version string
	bad     bool
	counts  bool
}

// NewVerdict returns what an answer means for a version of a service.
func NewVerdict(service, version string, bad bool) Verdict {
	return Verdict{service: service, version: version, bad: bad, counts: true}
}

// Placing is the duty with the calls that reach it.
type Placing struct {
	duty    *brduty.Duty[message, *brfleet.View]
	answers *brring.ReplyPool[Answer]
}

// New returns the duty of this VM.
func New(clock brclock.Clock, self brfleet.VM, counting *brcounting.Counting, poisoning Poisoning) *Placing {
	h := &handler{
		clock: clock, placer: brplace.New(self.Name(), self.Region()), budget: brretry.NewBudget(),
		counting: counting, poisoning: poisoning,
		view: &brfleet.View{}, tallies: map[uint64]brstanding.Tally{},
	}
	return &Placing{
		duty: brduty.New[message, *brfleet.View]("placing", h, clock,
			brduty.WithCapacity(queueCapacity), brduty.WithReserve(queueReserve), brduty.WithPeriod(idle)),
		answers: brring.NewReplyPool[Answer](),
	}
}

// Duty returns the duty to be started.
func (p *Placing) Duty() brduty.Runner { return p.duty }

// Views returns the ring that takes what the VM believes of the fleet.
func (p *Placing) Views() *brring.Latest[*brfleet.View] { return p.duty.Snapshots() }

// Place gives a request a server. Where none has room it waits, but not beyond
// its patience.
func (p *Placing) Place(ctx context.Context, ask brplace.Ask, patience time.Duration) (Answer, error) {
	return p.ask(ctx, message{kind: kindPlace, ask: ask, patience: patience})
}

// Retry gives a request another server at once, or none where there is no room
// or no budget for one more try.
func (p *Placing) Retry(ctx context.Context, ask brplace.Ask) (Answer, error) {
	return p.ask(ctx, message{kind: kindRetry, ask: ask})
}

func (p *Placing) ask(ctx context.Context, m message) (Answer, error) {
	answer, err := brring.Ask(ctx, p.duty.Queue(), p.answers, func(reply brring.Reply[Answer]) message {
		m.reply = reply
		return m
	})
	if err != nil {
		return Answer{}, errors.Errorf("ask for server: %w", err)
	}
	return answer, nil
}

// Settle takes note of how a request ended at its server, and of what that means
// for the server's version.
func (p *Placing) Settle(outcome brplace.Outcome, verdict Verdict) {
	_ = p.duty.Queue().SendReserved(message{kind: kindSettle, outcome: outcome, verdict: verdict})
}

// Expose sets what this VM may send to the versions that rollouts bring in.
func (p *Placing) Expose(exposures map[string]brplace.Exposure) {
	_ = p.duty.Queue().SendReserved(message{kind: kindExpose, exposures: exposures})
}
