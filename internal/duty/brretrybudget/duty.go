// Package brretrybudget provides the duty that owns the retry budgets, one for each route.
//
// Each request adds to the budget of its route and each retry is charged to it, so that
// retries remain a bounded fraction of the traffic.
//
// # Usage
//
//	budgets := brretrybudget.New(clock)
//	group.Start(budgets.Duty())
//	budgets.Earn("cylinders")
//	allowed := budgets.Spend(ctx, "cylinders")
package brretrybudget

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
	charge bool
	reply  brring.Reply[bool]
}

// Budgets is the duty and its client methods, which may be called concurrently.
type Budgets struct {
	duty    *brduty.Duty[message, *brconfig.Snapshot]
	answers *brring.ReplyPool[bool]
}

// New creates the duty without starting it.
func New(clock brclock.Clock) *Budgets {
	h := &handler{budget: brretry.NewBudget()}
	return &Budgets{
		duty:    brduty.New("retrying", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithoutTicks()),
		answers: brring.NewReplyPool[bool](),
	}
}

// Duty returns the duty to start.
func (b *Budgets) Duty() brduty.Runner { return b.duty }

// Snapshots returns the ring that receives configuration snapshots.
func (b *Budgets) Snapshots() *brring.Latest[*brconfig.Snapshot] { return b.duty.Snapshots() }

// Earn credits the budget of a route for one request. The credit is lost if the queue is
// full.
func (b *Budgets) Earn(route string) {
	_ = b.duty.Queue().Send(message{route: route})
}

// Spend charges one retry to the budget of a route and reports whether it is allowed. It
// charges nothing if the context ends first.
func (b *Budgets) Spend(ctx context.Context, route string) bool {
	allowed, err := brring.Ask(ctx, b.duty.Queue(), b.answers, func(reply brring.Reply[bool]) message {
		return message{route: route, charge: true, reply: reply}
	})
	return err == nil && allowed
}

type handler struct {
	budget *brretry.Budget
}

// Handle credits or charges the budget of a route.
func (h *handler) Handle(_ context.Context, m message) {
	if !m.charge {
		h.budget.Earn(m.route)
		return
	}
	allowed := h.budget.Spend(m.route)
	if !m.reply.Answer(allowed) && allowed {
		h.budget.Refund(m.route)
	}
}

// Update removes the budgets of deleted routes.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	h.budget.Keep(func(route string) bool { return snapshot.Routes().Get(route).IsPresent() })
}

// Tick does nothing: the duty runs without ticks.
func (*handler) Tick(context.Context, time.Time) {}
