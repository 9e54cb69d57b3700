// Package brallowance provides the duty that enforces the quotas of organisations.
//
// It owns this VM's part of each quota and reports the VM's demand, by which the quota is
// divided among the VMs. One VM of each region also lends to those of its region whose own
// part is used up.
//
// # Usage
//
//	enforcer := brallowance.New(clock, "vm-1", bounds, aggregator, replicator)
//	group.Start(enforcer.Duty())
//	decision, err := enforcer.Admit(ctx, organisation)
package brallowance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brquota"
	"bergamotroad.example/bergamotroad/internal/duty/braggregator"
	"bergamotroad.example/bergamotroad/internal/duty/brreplicator"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

const (
	queueCapacity = 2048 // messages
	// queueReserve is for the refunds of requests that did not run. A refund that the queue
	// rejected would be missing from the quota until the bucket has drained.
	queueReserve = 2048 // messages
	// reportPeriod is the interval between reports of the demand.
	reportPeriod = 250 * time.Millisecond
)

type kind int

const (
	kindAdmit kind = iota
	kindLend
	kindRefund
)

type message struct {
	kind         kind
	organisation brfleet.Organisation
	reply        brring.Reply[brquota.Decision]
}

// Enforcer is the duty and its client methods, which may be called concurrently.
type Enforcer struct {
	duty    *brduty.Duty[message, *braggregator.Summary]
	answers *brring.ReplyPool[brquota.Decision]
}

// New returns the duty of a VM. It receives the demand of the fleet from the aggregator and
// reports the demand of this VM to it.
func New(clock brclock.Clock, vm string, bounds brfleet.Bounds, aggregator *braggregator.Aggregator, replicator *brreplicator.Replicator) *Enforcer {
	h := &handler{vm: vm, clock: clock, aggregator: aggregator, replicator: replicator, limiter: brquota.NewLimiter(clock.Now(), bounds, rand.Float64)}
	e := &Enforcer{
		duty:    brduty.New[message, *braggregator.Summary]("metering", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithReserve(queueReserve), brduty.WithPeriod(reportPeriod)),
		answers: brring.NewReplyPool[brquota.Decision](),
	}
	aggregator.Subscribe(e.duty.Snapshots())
	return e
}

// Duty returns the duty for a group to start.
func (e *Enforcer) Duty() brduty.Runner { return e.duty }

// Admit decides whether a request is within this VM's part of its organisation's quota. No
// token is taken if the context ends first.
func (e *Enforcer) Admit(ctx context.Context, organisation brfleet.Organisation) (brquota.Decision, error) {
	return e.ask(ctx, kindAdmit, organisation)
}

// Lend decides whether this VM lends quota for a request to a VM of its region whose own
// part is used up.
func (e *Enforcer) Lend(ctx context.Context, organisation brfleet.Organisation) (brquota.Decision, error) {
	return e.ask(ctx, kindLend, organisation)
}

func (e *Enforcer) ask(ctx context.Context, kind kind, organisation brfleet.Organisation) (brquota.Decision, error) {
	answer, err := brring.Ask(ctx, e.duty.Queue(), e.answers, func(reply brring.Reply[brquota.Decision]) message {
		return message{kind: kind, organisation: organisation, reply: reply}
	})
	if err != nil {
		return brquota.Decision{}, errors.Errorf("query quota: %w", err)
	}
	return answer, nil
}

// Refund returns the token of a request that did not run.
func (e *Enforcer) Refund(organisation brfleet.Organisation) {
	_ = e.duty.Queue().SendReserved(message{kind: kindRefund, organisation: organisation})
}

// handler owns the state of the quotas.
type handler struct {
	vm         string
	clock      brclock.Clock
	aggregator *braggregator.Aggregator
	replicator *brreplicator.Replicator
	limiter    *brquota.Limiter
	hadDemand  bool
}

// Handle decides on one request, or takes its token back. A token is also taken back if the
// caller has not received the decision, since the request will not run.
func (h *handler) Handle(_ context.Context, m message) {
	switch m.kind {
	case kindAdmit:
		decision := h.limiter.Admit(h.clock.Now(), m.organisation)
		if !m.reply.Answer(decision) && decision.Admitted() {
			h.limiter.Refund(m.organisation.Name())
		}
	case kindLend:
		decision := h.limiter.Lend(h.clock.Now(), m.organisation)
		if !m.reply.Answer(decision) && decision.Admitted() {
			h.limiter.RefundLent(m.organisation.Name())
		}
	case kindRefund:
		h.limiter.Refund(m.organisation.Name())
	}
}

// Update divides the quotas by the demand of the fleet.
func (h *handler) Update(_ context.Context, summary *braggregator.Summary) {
	if summary.IsLeader() {
		h.limiter.SetRegionDemand(h.clock.Now(), summary.Region())
	} else {
		h.limiter.StopLending(h.clock.Now())
	}
	fleet := summary.Fleet()
	h.limiter.SetFleetDemand(summary.AsOf(), fleet, h.eligibleVMs(fleet), fleet.IsMember(h.vm))
}

// eligibleVMs returns the number of VMs that may use a part of the quotas: the registered ones
// that are alive or have not announced that they leave. A VM that is merely unreachable
// counts, since it may still admit requests.
func (h *handler) eligibleVMs(fleet brstatus.Status) int {
	count := 0
	for _, vm := range h.replicator.State().View().VMs() {
		if fleet.IsMember(vm.Name()) || !fleet.IsStopping(vm.Name()) {
			count++
		}
	}
	return count
}

// Tick reports the demand of this VM. Without any demand it reports once, to clear the
// previous report.
func (h *handler) Tick(_ context.Context, now time.Time) {
	demands := h.limiter.ReportDemands(now)
	if len(demands) > 0 || h.hadDemand {
		h.aggregator.SetDemands(demands)
	}
	h.hadDemand = len(demands) > 0
}
