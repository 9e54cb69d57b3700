// Package brpinging provides the duty that pings other VMs, so that a VM that
// does not answer delays nothing but pings.
//
// # Usage
//
//	pinging := brpinging.New(clock, pinger)
//	membership := brmembership.New(settings, clock, list, pinging, timeline, logger)
//	pinging.Report(membership)
//	group.Start(pinging.Duty())
package brpinging

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

const (
	queueCapacity = 16 // rounds
	pingTimeout   = 400 * time.Millisecond
)

// Call is a ping to be sent. It is immutable.
type Call struct {
	name    string
	address string
	ping    brmember.Ping
}

// NewCall returns a ping to the VM of a name at an address, host:port.
func NewCall(name, address string, ping brmember.Ping) Call {
	return Call{name: name, address: address, ping: ping}
}

// Name returns the VM that is pinged.
func (c Call) Name() string { return c.name }

// Address returns its address, host:port.
func (c Call) Address() string { return c.address }

// Ping returns what is sent.
func (c Call) Ping() brmember.Ping { return c.ping }

// Outcome is what became of a ping. It is immutable.
type Outcome struct {
	name   string
	answer brmember.Ping
	err    error
}

// NewOutcome returns the answer of a VM, or why there is none.
func NewOutcome(name string, answer brmember.Ping, err error) Outcome {
	return Outcome{name: name, answer: answer, err: err}
}

// Name returns the VM that was pinged.
func (o Outcome) Name() string { return o.name }

// Answer returns what it answered.
func (o Outcome) Answer() brmember.Ping { return o.answer }

// Err returns why there is no answer, or nil.
func (o Outcome) Err() error { return o.err }

// Pinger reaches other VMs.
type Pinger interface {
	// PingAll sends pings at the same time and returns what became of each.
	PingAll(ctx context.Context, calls []Call, timeout time.Duration) []Outcome
}

// Reporter hears what became of pings.
type Reporter interface {
	// Pinged takes the outcomes of a round.
	Pinged(outcomes []Outcome)
}

// Pinging is the duty with the call that reaches it.
type Pinging struct {
	duty    *brduty.Duty[[]Call, struct{}]
	handler *handler
}

// New returns the duty over a pinger.
func New(clock brclock.Clock, pinger Pinger) *Pinging {
	h := &handler{pinger: pinger}
	return &Pinging{
		duty:    brduty.New[[]Call, struct{}]("pinging", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithoutTicks()),
		handler: h,
	}
}

// Duty returns the duty to be started.
func (p *Pinging) Duty() brduty.Runner { return p.duty }

// Report names who hears the outcomes. It is called before the duty starts.
func (p *Pinging) Report(reporter Reporter) { p.handler.reporter = reporter }

// Ping sends a round of pings without waiting.
func (p *Pinging) Ping(calls []Call) {
	if len(calls) > 0 {
		_ = p.duty.Queue().Send(calls)
	}
}

type handler struct {
	pinger   Pinger
	reporter Reporter
}

// Handle sends one round of pings.
func (h *handler) Handle(ctx context.Context, calls []Call) {
	h.reporter.Pinged(h.pinger.PingAll(ctx, calls, pingTimeout))
}

// Update does nothing: no snapshots are sent to this duty.
func (*handler) Update(context.Context, struct{}) {}

// Tick does nothing.
func (*handler) Tick(context.Context, time.Time) {}
