// Package brretrying provides the duty that owns the budgets for retries.
//
// # Usage
//
//	retrying := brretrying.New(clock)
//	group.Start(retrying.Duty())
//	retrying.Earn("cylinders")
//	again := retrying.Spend(ctx, "cylinders")
package brretrying

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brretry"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

const queueCapacity = 4096 // messages

type message struct {
	route  string
	spends bool
	reply  brring.Reply[bool]
}

// Retrying is the duty with the calls that reach it.
type Retrying struct {
	duty    *brduty.Duty[message, *brconfig.Snapshot]
	answers *brring.ReplyPool[bool]
}

// New returns the duty.
func New(clock brclock.Clock) *Retrying {
	h := &handler{budget: brretry.NewBudget()}
	return &Retrying{
		duty:    brduty.New("retrying", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithoutTicks()),
		answers: brring.NewReplyPool[bool](),
	}
}

// Duty returns the duty to be started.
func (r *Retrying) Duty() brduty.Runner { return r.duty }

// Snapshots returns the ring that takes the configuration.
func (r *Retrying) Snapshots() *brring.Latest[*brconfig.Snapshot] { return r.duty.Snapshots() }

// Earn credits a route for a request. A credit that finds the ring full is lost.
func (r *Retrying) Earn(route string) {
	_ = r.duty.Queue().Send(message{route: route})
}

// Spend reports whether the budget of a route allows one more retry.
func (r *Retrying) Spend(ctx context.Context, route string) bool {
	allowed, err := brring.Ask(ctx, r.duty.Queue(), r.answers, func(reply brring.Reply[bool]) message {
		return message{route: route, spends: true, reply: reply}
	})
	return err == nil && allowed
}

type handler struct {
	budget *brretry.Budget
}

// Handle earns or spends.
func (h *handler) Handle(_ context.Context, m message) {
	if m.spends {
		m.reply.Answer(h.budget.Spend(m.route))
		return
	}
	h.budget.Earn(m.route)
}

// Update forgets the routes that are gone.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	h.budget.Keep(func(route string) bool { return snapshot.Routes().Get(route).IsPresent() })
}

// Tick does nothing.
func (*handler) Tick(context.Context, time.Time) {}
