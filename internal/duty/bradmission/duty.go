// Package bradmission provides the duty that admits or refuses requests.
//
// It owns the buckets of the organisations on this VM, and asks the decisions
// for route, key and limit of each request.
//
// # Usage
//
//	admission := bradmission.New(clock)
//	group.Start(admission.Duty())
//	admission.Snapshots().Send(snapshot)
//	verdict, err := admission.Admit(ctx, request)
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
	// tickPeriod is the time between two looks for loans to renew.
	tickPeriod = 500 * time.Millisecond
	// parkPeriod bounds how late a request that waited for loans is answered.
	parkPeriod = 50 * time.Millisecond
)

type message struct {
	control control
	request brrequest.Request
	reply   brring.Reply[brrequest.Verdict]
}

// Admission is the duty with the calls that reach it.
type Admission struct {
	duty     *brduty.Duty[message, *brconfig.Snapshot]
	handler  *handler
	verdicts *brring.ReplyPool[brrequest.Verdict]
	booleans *brring.ReplyPool[bool]
	loans    *brring.ReplyPool[brloan.Loan]
	attempts *brring.ReplyPool[brshare.Attempt]
}

// New returns the duty; it refuses everything before the first snapshot.
func New(clock brclock.Clock) *Admission {
	h := &handler{clock: clock, identity: newIdentity(), limits: newLimits(clock)}
	return &Admission{
		duty:     brduty.New("admission", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithPeriod(tickPeriod)),
		handler:  h,
		verdicts: brring.NewReplyPool[brrequest.Verdict](),
		booleans: brring.NewReplyPool[bool](),
		loans:    brring.NewReplyPool[brloan.Loan](),
		attempts: brring.NewReplyPool[brshare.Attempt](),
	}
}

// Duty returns the duty to be started.
func (a *Admission) Duty() brduty.Runner { return a.duty }

// Snapshots returns the ring that takes the configuration.
func (a *Admission) Snapshots() *brring.Latest[*brconfig.Snapshot] { return a.duty.Snapshots() }

// Admit returns the verdict on a request. A full ring refuses it as overloaded.
func (a *Admission) Admit(ctx context.Context, request brrequest.Request) (brrequest.Verdict, error) {
	verdict, err := brring.Ask(ctx, a.duty.Queue(), a.verdicts, func(reply brring.Reply[brrequest.Verdict]) message {
		return message{request: request, reply: reply}
	})
	if err == nil {
		return verdict, nil
	}
	if brring.IsErrFull(err) {
		return brrequest.Refuse(brrequest.ReasonOverloaded, "", time.Second), nil
	}
	return brrequest.Verdict{}, errors.Errorf("admit request %s: %w", request.ID(), err)
}

type handler struct {
	clock    brclock.Clock
	snapshot *brconfig.Snapshot
	identity *identity
	routes   *brroute.Matcher
	limits   *limits
	parked   []parked
	renewed  time.Time
}

// Handle answers one request, or takes a message about shares.
func (h *handler) Handle(_ context.Context, m message) {
	if m.control != nil {
		m.control(h)
		return
	}
	verdict := h.verdict(m.request)
	if !h.park(m, verdict) {
		m.reply.Answer(verdict)
	}
}

// Update takes a new configuration.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	h.snapshot = snapshot
	h.identity.update(snapshot)
	h.routes = brroute.NewMatcher(snapshot)
	h.limits.update(snapshot)
}

// Tick renews loans and answers requests that have waited for loans.
func (h *handler) Tick(_ context.Context, now time.Time) {
	h.expireParked(now)
	if now.Sub(h.renewed) >= tickPeriod {
		h.renewed = now
		h.limits.renew(now)
	}
}

// Due asks for ticks while requests wait for loans.
func (h *handler) Due(time.Time) (time.Duration, bool) {
	return parkPeriod, len(h.parked) > 0
}

func (h *handler) verdict(request brrequest.Request) brrequest.Verdict {
	if h.snapshot == nil {
		return brrequest.Refuse(brrequest.ReasonNoConfiguration, "", time.Second)
	}
	route, ok := h.routes.Match(request.Method(), request.Path()).Get()
	if !ok {
		return brrequest.Refuse(brrequest.ReasonNoRoute, "", 0)
	}
	owner, unidentified := h.identity.of(request, h.clock.Now())
	if unidentified.reason != brrequest.ReasonNone && !route.Open() {
		return brrequest.Refuse(unidentified.reason, unidentified.organisation, unidentified.retryAfter)
	}
	if refusal, refused := h.limits.refuse(owner.Name(), route); refused {
		return refusal
	}
	return brrequest.Admit(owner.Name(), route, h.snapshot.Generation()).WithWeight(owner.Weight())
}
