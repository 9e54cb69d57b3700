// Package brbalancer provides the duty that selects a backend server for each request.
//
// The duty owns this VM's state of the backend servers of its failure domain. Requests
// that find no free slot wait in a queue per service that is fair between organisations.
//
// # Usage
//
//	balancer := brbalancer.New("vm-1", "montevideo-a", clock)
//	group.Start(balancer.Duty())
//	server, err := balancer.Pick(ctx, brrequest.NewPlacement("lookup", "taller-norte"))
//	balancer.Release(brrequest.NewOutcome(server.Name(), brrequest.OutcomeAnswered, latency))
package brbalancer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brbalance"
	"bergamotroad.example/bergamotroad/internal/decide/brmove"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	queueCapacity  = 4096 // placements
	proposalPeriod = time.Second
	// queueReserve is the queue capacity reserved for the outcomes of running requests,
	// whose number is bounded by the front end.
	queueReserve = 8192 // messages
)

// ErrServerNotExist means that no backend server of a service can accept a request.
type ErrServerNotExist struct {
	service string
}

// Error implements the error interface.
func (e ErrServerNotExist) Error() string {
	return fmt.Sprintf("service %q has no server with a free slot", e.service)
}

// IsErrServerNotExist reports whether err is or wraps ErrServerNotExist.
func IsErrServerNotExist(err error) bool {
	_, ok := errors.Into[ErrServerNotExist](err)
	return ok
}

// reply carries the selected server back to the caller, or none.
type reply = brring.Reply[broption.Option[brconfig.Server]]

type message struct {
	placement brrequest.Placement
	outcome   broption.Option[brrequest.Outcome]
	cancelled bool
	reply     reply
}

// Balancer is the load balancing duty and its API.
type Balancer struct {
	handler *handler
	duty    *brduty.Duty[message, *brconfig.Snapshot]
	servers *brring.ReplyPool[broption.Option[brconfig.Server]]
}

// New creates the duty, without starting it, for the backend servers of the VM's failure
// domain.
func New(vm, domain string, clock brclock.Clock) *Balancer {
	h := &handler{clock: clock, waiting: map[string]*waitQueue{}, balancer: brbalance.NewBalancer[brbalance.LeastLoaded](vm, domain, rand.Uint64())}
	return &Balancer{
		handler: h,
		duty:    brduty.New("balancing", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithReserve(queueReserve)),
		servers: brring.NewReplyPool[broption.Option[brconfig.Server]](),
	}
}

// Duty returns the duty to start.
func (b *Balancer) Duty() brduty.Runner { return b.duty }

// Snapshots returns the ring that receives configuration snapshots.
func (b *Balancer) Snapshots() *brring.Latest[*brconfig.Snapshot] { return b.duty.Snapshots() }

// SubscribeProposals sets the ring that receives the proposed records of moves once per
// second. It must be called before the duty starts.
func (b *Balancer) SubscribeProposals(ring *brring.Latest[[]brmove.Proposal]) {
	b.handler.proposals = ring
}

// Pick reserves a slot of a server. If no slot is free it waits for at most the
// placement's wait time, and returns ErrServerNotExist if none became free.
func (b *Balancer) Pick(ctx context.Context, placement brrequest.Placement) (brconfig.Server, error) {
	var pending reply
	answer, err := brring.Ask(ctx, b.duty.Queue(), b.servers, func(r reply) message {
		pending = r
		return message{placement: placement, reply: r}
	})
	if err != nil {
		b.cancel(pending)
		return brconfig.Server{}, errors.Errorf("pick server of %q: %w", placement.Service(), err)
	}
	server, ok := answer.Get()
	if !ok {
		return brconfig.Server{}, ErrServerNotExist{service: placement.Service()}
	}
	return server, nil
}

// Release frees the slot of a finished request and records its outcome.
func (b *Balancer) Release(outcome brrequest.Outcome) {
	_ = b.duty.Queue().SendReserved(message{outcome: broption.Some(outcome)})
}

// cancel cancels a placement whose caller no longer waits for the answer.
func (b *Balancer) cancel(pending reply) {
	if pending.IsExpected() {
		_ = b.duty.Queue().SendReserved(message{cancelled: true, reply: pending})
	}
}

type handler struct {
	clock    brclock.Clock
	waiting  map[string]*waitQueue // by service name
	balancer *brbalance.Balancer[brbalance.LeastLoaded]

	proposals *brring.Latest[[]brmove.Proposal]
	proposed  time.Time
}

// Handle places a request, releases a slot or cancels a placement.
func (h *handler) Handle(_ context.Context, m message) {
	now := h.clock.Now()
	if outcome, ok := m.outcome.Get(); ok {
		h.balancer.Release(now, outcome)
		h.assignAll(now)
		return
	}
	if m.cancelled {
		h.cancel(m.reply)
		return
	}
	h.place(m, now)
}

// Update applies a new configuration.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	h.balancer.Update(h.clock.Now(), snapshot)
	h.assignAll(h.clock.Now())
}

// propose publishes the proposed records of moves, at most once per proposalPeriod.
func (h *handler) propose(now time.Time) {
	if h.proposals == nil || now.Sub(h.proposed) < proposalPeriod {
		return
	}
	h.proposed = now
	_ = h.proposals.Send(h.balancer.Proposals(now))
}
