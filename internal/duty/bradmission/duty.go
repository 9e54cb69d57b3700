// Package bradmission provides the duty that admits or refuses requests.
//
// The duty owns the token buckets of the organisations on this VM. For each request
// it matches the route, authenticates the API key and charges the rate limit of the
// organisation.
//
// # Usage
//
//	admission := bradmission.New(clock)
//	group.Start(admission.Duty())
//	err := admission.Snapshots().Send(snapshot)
//	decision, err := admission.Admit(ctx, request)
package bradmission

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brroute"
	"bergamotroad.example/bergamotroad/internal/decide/brshare"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brloan"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	queueCapacity = 4096 // messages
	// queueReserve is for the ends of loan searches. There are at most as many as the
	// borrower queues, 1,024, and the one that it carries out. If one were rejected, the
	// organisation's account would wait for the end of its search for good.
	queueReserve = 1025 // messages
	// tickPeriod is the interval between checks for loans that need renewal.
	tickPeriod = 500 * time.Millisecond
	// parkPeriod bounds how long after its timeout a parked request is answered.
	parkPeriod = 50 * time.Millisecond
)

type message struct {
	operation operation
	request   brrequest.Request
	reply     brring.Reply[brrequest.Decision]
}

// Admission is the admission duty and its API.
type Admission struct {
	duty      *brduty.Duty[message, *brconfig.Snapshot]
	handler   *handler
	decisions *brring.ReplyPool[brrequest.Decision]
	booleans  *brring.ReplyPool[bool]
	loans     *brring.ReplyPool[brloan.Loan]
	attempts  *brring.ReplyPool[brshare.Attempt]
}

// New returns an Admission that is not started. It refuses all requests until it
// receives the first configuration snapshot.
func New(clock brclock.Clock) *Admission {
	h := &handler{clock: clock, authenticator: newAuthenticator(), limits: newLimits(clock)}
	return &Admission{
		duty:      brduty.New("admission", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithReserve(queueReserve), brduty.WithPeriod(tickPeriod)),
		handler:   h,
		decisions: brring.NewReplyPool[brrequest.Decision](),
		booleans:  brring.NewReplyPool[bool](),
		loans:     brring.NewReplyPool[brloan.Loan](),
		attempts:  brring.NewReplyPool[brshare.Attempt](),
	}
}

// Duty returns the duty to start.
func (a *Admission) Duty() brduty.Runner { return a.duty }

// Snapshots returns the ring that receives configuration snapshots.
func (a *Admission) Snapshots() *brring.Latest[*brconfig.Snapshot] { return a.duty.Snapshots() }

// Admit decides whether a request is admitted. If the queue is full, the request is
// refused as overloaded.
func (a *Admission) Admit(ctx context.Context, request brrequest.Request) (brrequest.Decision, error) {
	decision, err := brring.Ask(ctx, a.duty.Queue(), a.decisions, func(reply brring.Reply[brrequest.Decision]) message {
		return message{request: request, reply: reply}
	})
	if err == nil {
		return decision, nil
	}
	if brring.IsErrFull(err) {
		return brrequest.Refuse(brrequest.ReasonOverloaded, "", time.Second), nil
	}
	return brrequest.Decision{}, errors.Errorf("admit request %s: %w", request.ID(), err)
}

type handler struct {
	clock         brclock.Clock
	snapshot      *brconfig.Snapshot
	authenticator *authenticator
	routes        *brroute.Matcher
	limits        *limits
	parked        []parked
	renewed       time.Time
}

// Handle decides on one request, or runs an operation on the rate limits. A request whose
// caller no longer waits is not charged.
func (h *handler) Handle(_ context.Context, m message) {
	if m.operation != nil {
		m.operation(h)
		return
	}
	if m.reply.IsAbandoned() {
		return
	}
	decision := h.decide(m.request)
	if !h.park(m, decision) {
		m.reply.Answer(decision)
	}
}

// Update applies a new configuration.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	h.snapshot = snapshot
	h.authenticator.update(snapshot)
	h.routes = brroute.NewMatcher(snapshot)
	h.limits.update(snapshot)
}

// Tick renews loans and refuses parked requests that have timed out.
func (h *handler) Tick(_ context.Context, now time.Time) {
	h.expireParked(now)
	if now.Sub(h.renewed) >= tickPeriod {
		h.renewed = now
		h.limits.renew(now)
	}
}

// Due requests more frequent ticks while requests are parked.
func (h *handler) Due(time.Time) (time.Duration, bool) {
	return parkPeriod, len(h.parked) > 0
}

func (h *handler) decide(request brrequest.Request) brrequest.Decision {
	if h.snapshot == nil {
		return brrequest.Refuse(brrequest.ReasonNoConfiguration, "", time.Second)
	}
	route, ok := h.routes.Match(request.Method(), request.Path()).Get()
	if !ok {
		return brrequest.Refuse(brrequest.ReasonNoRoute, "", 0)
	}
	owner, failure := h.authenticator.authenticate(request, h.clock.Now())
	if failure.reason != brrequest.ReasonNone && !route.Open() {
		return brrequest.Refuse(failure.reason, failure.organisation, failure.retryAfter)
	}
	if refusal, refused := h.limits.charge(owner.Name(), route); refused {
		return refusal
	}
	return brrequest.Admit(owner.Name(), route, h.snapshot.Generation()).WithWeight(owner.Weight())
}
