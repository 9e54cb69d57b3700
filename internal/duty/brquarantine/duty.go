// Package brquarantine provides the duty that detects and refuses poison requests:
// requests that crash the servers that run them.
//
// VMs exchange notices of the crashes that they observe, so that a request is refused
// on all of them. A VM on which the same request completed responds to a notice with a
// clearance.
//
// # Usage
//
//	detector := brquarantine.New[brpoison.SerialPolicy](clock, timeline, broadcaster)
//	group.Start(detector.Duty())
//	verdict := detector.Begin(ctx, fingerprint)
//	detector.ReportCrash(fingerprint, "ledger-1")
package brquarantine

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brpoison"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	queueCapacity = 4096 // messages
	expiryPeriod  = 10 * time.Second
	// maxObserved limits the crashes observed by this VM that are kept to repeat their
	// notices; it bounds memory.
	maxObserved = 256
)

// Broadcaster broadcasts notices to the other VMs.
type Broadcaster interface {
	// Broadcast queues a notice without waiting.
	Broadcast(notice brrequest.PoisonNotice)
}

// Keeper passes on what this VM knows of poison requests to VMs that start later.
type Keeper interface {
	// KeepCases replaces what is passed on, without waiting.
	KeepCases(cases []brrequest.PoisonCase)
}

type action int

const (
	actionBegin action = iota
	actionCompletion
	actionInconclusive
	actionCrash
	actionNotice
	actionLift
	actionList
	actionAdopt
)

type message struct {
	action      action
	fingerprint brrequest.Fingerprint
	notice      brrequest.PoisonNotice
	cases       []brrequest.PoisonCase
	reply       brring.Reply[answer]
}

type answer struct {
	verdict  brpoison.Verdict
	lifted   bool
	refusals []brpoison.Refusal
}

// Detector is the duty and its client methods, which may be called concurrently.
type Detector[P brpoison.Policy] struct {
	duty    *brduty.Duty[message, struct{}]
	handler *handler[P]
	answers *brring.ReplyPool[answer]
	refused *atomic.Pointer[refusals]
}

// refusals holds the expiry times of the refusals in force. It is not modified after
// it is published.
type refusals map[brrequest.Fingerprint]time.Time

// New returns the duty.
func New[P brpoison.Policy](clock brclock.Clock, events brevent.Recorder, broadcaster Broadcaster) *Detector[P] {
	h := &handler[P]{clock: clock, events: events, broadcaster: broadcaster, detector: brpoison.NewDetector[P]()}
	h.refused.Store(&refusals{})
	return &Detector[P]{
		duty:    brduty.New[message, struct{}]("poisoning", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithPeriod(expiryPeriod)),
		handler: h,
		answers: brring.NewReplyPool[answer](),
		refused: &h.refused,
	}
}

// SetKeeper sets what passes on the cases of this VM. It must be called before the duty
// starts.
func (d *Detector[P]) SetKeeper(keeper Keeper) { d.handler.keeper = keeper }

// Refused returns until when a request is refused, if it is. It doesn't wait for the duty.
func (d *Detector[P]) Refused(fingerprint brrequest.Fingerprint) (time.Time, bool) {
	until, ok := (*d.refused.Load())[fingerprint]
	return until, ok
}

// Duty returns the duty for a group to start.
func (d *Detector[P]) Duty() brduty.Runner { return d.duty }

// Begin returns whether a request may run now. If the duty's queue is full the verdict
// is brpoison.Deferred.
func (d *Detector[P]) Begin(ctx context.Context, fingerprint brrequest.Fingerprint) brpoison.Verdict {
	got, err := d.ask(ctx, message{action: actionBegin, fingerprint: fingerprint})
	if err != nil {
		return brpoison.Deferred
	}
	return got.verdict
}

// ReportCompletion reports that a server completed a request.
func (d *Detector[P]) ReportCompletion(fingerprint brrequest.Fingerprint) {
	_ = d.duty.Queue().Send(message{action: actionCompletion, fingerprint: fingerprint})
}

// ReportInconclusive reports that a request ended in a way that is no evidence for or against it.
func (d *Detector[P]) ReportInconclusive(fingerprint brrequest.Fingerprint) {
	_ = d.duty.Queue().Send(message{action: actionInconclusive, fingerprint: fingerprint})
}

// ReportCrash reports that a server crashed while it executed a request.
func (d *Detector[P]) ReportCrash(fingerprint brrequest.Fingerprint, server string) {
	_ = d.duty.Queue().Send(message{action: actionCrash, notice: brrequest.NewPoisonNotice(fingerprint, server)})
}

// Receive processes a notice from another VM.
func (d *Detector[P]) Receive(notice brrequest.PoisonNotice) {
	_ = d.duty.Queue().Send(message{action: actionNotice, notice: notice})
}

// Adopt takes over what another VM knows of poison requests.
func (d *Detector[P]) Adopt(cases []brrequest.PoisonCase) {
	_ = d.duty.Queue().Send(message{action: actionAdopt, cases: cases})
}

// Lift ends the refusal of a request on all VMs. It reports whether this VM was
// refusing the request.
func (d *Detector[P]) Lift(ctx context.Context, fingerprint brrequest.Fingerprint) (bool, error) {
	got, err := d.ask(ctx, message{action: actionLift, fingerprint: fingerprint})
	return got.lifted, err
}

// Refusals returns the refusals in force.
func (d *Detector[P]) Refusals(ctx context.Context) ([]brpoison.Refusal, error) {
	got, err := d.ask(ctx, message{action: actionList})
	return got.refusals, err
}

func (d *Detector[P]) ask(ctx context.Context, m message) (answer, error) {
	got, err := brring.Ask(ctx, d.duty.Queue(), d.answers, func(reply brring.Reply[answer]) message {
		m.reply = reply
		return m
	})
	if err != nil {
		return answer{}, errors.Errorf("query poison requests: %w", err)
	}
	return got, nil
}

type handler[P brpoison.Policy] struct {
	clock       brclock.Clock
	events      brevent.Recorder
	broadcaster Broadcaster
	keeper      Keeper // nil if nothing is passed on to VMs that start later
	detector    *brpoison.Detector[P]
	refused     atomic.Pointer[refusals]
	observed    []brrequest.PoisonNotice // crashes observed by this VM, oldest first
}

// Handle processes a report or a query.
func (h *handler[P]) Handle(_ context.Context, m message) {
	now := h.clock.Now()
	switch m.action {
	case actionBegin:
		h.begin(now, m)
	case actionCompletion:
		h.recordCompletion(now, m.fingerprint)
	case actionInconclusive:
		h.detector.EndTrial(m.fingerprint)
	case actionCrash:
		h.observeCrash(now, m.notice)
	case actionNotice:
		h.receive(now, m.notice)
	case actionLift:
		m.reply.Answer(answer{lifted: h.lift(now, m.fingerprint)})
		h.broadcaster.Broadcast(brrequest.NewPoisonLift(m.fingerprint))
	case actionList:
		m.reply.Answer(answer{refusals: h.detector.Refusals(now)})
	case actionAdopt:
		h.adopt(now, m.cases)
	}
}

// adopt takes over what another VM knows.
func (h *handler[P]) adopt(now time.Time, cases []brrequest.PoisonCase) {
	adopted := false
	for _, c := range cases {
		finding := h.detector.Adopt(now, c)
		adopted = adopted || finding != brpoison.Cleared
		if finding == brpoison.Confirmed {
			h.events.Record(brevent.New(brevent.KindPoisonRefused).
				WithDetail("fingerprint", c.Fingerprint().String()).
				WithDetail("from", "another VM"))
		}
	}
	if adopted {
		h.publish(now)
	}
}

// begin decides whether a request may run. If the caller has not received the verdict, the
// request doesn't run, and its trial ends.
func (h *handler[P]) begin(now time.Time, m message) {
	verdict := h.detector.Begin(now, m.fingerprint)
	if !m.reply.Answer(answer{verdict: verdict}) && verdict == brpoison.Admitted {
		h.detector.EndTrial(m.fingerprint)
	}
}

// Update does nothing: the duty uses no snapshots.
func (*handler[P]) Update(context.Context, struct{}) {}

// Tick expires suspicions and refusals, and repeats the notices that still apply.
func (h *handler[P]) Tick(_ context.Context, now time.Time) {
	h.detector.Expire(now)
	h.publish(now)
	h.repeatNotices(now)
}

// repeatNotices repeats the notices of crashes observed by this VM while their request is
// refused, so that VMs that start later refuse it too. Only the VM that observed a
// crash repeats its notice: otherwise VMs would keep renewing each other's refusals.
func (h *handler[P]) repeatNotices(now time.Time) {
	if !h.detector.Aggregated() {
		return
	}
	h.observed = slices.DeleteFunc(h.observed, func(n brrequest.PoisonNotice) bool { return !h.detector.IsSuspect(now, n.Fingerprint()) })
	for _, notice := range h.observed {
		if h.detector.IsRefused(now, notice.Fingerprint()) {
			h.broadcaster.Broadcast(notice)
		}
	}
}

// publish makes the refusals in force visible to Refused, and passes them on.
func (h *handler[P]) publish(now time.Time) {
	list := h.detector.Refusals(now)
	ends := make(refusals, len(list))
	for _, r := range list {
		ends[r.Fingerprint()] = r.Until()
	}
	h.refused.Store(&ends)
	h.keep(now)
}

// keep passes on what VMs that start later need to know.
func (h *handler[P]) keep(now time.Time) {
	if h.keeper != nil {
		h.keeper.KeepCases(h.detector.Cases(now))
	}
}

func (h *handler[P]) recordCompletion(now time.Time, fingerprint brrequest.Fingerprint) {
	servers := h.detector.RecordCompletion(now, fingerprint)
	for _, server := range servers {
		h.sendClearance(fingerprint, server)
	}
	if len(servers) > 0 {
		h.keep(now)
	}
}

// sendClearance tells the other VMs that a server's crash had another cause.
func (h *handler[P]) sendClearance(fingerprint brrequest.Fingerprint, server string) {
	if h.detector.Aggregated() {
		h.broadcaster.Broadcast(brrequest.NewPoisonClearance(fingerprint, server))
	}
}

func (h *handler[P]) receive(now time.Time, notice brrequest.PoisonNotice) {
	switch {
	case notice.Clears():
		h.endRefusal(now, notice.Fingerprint(), h.detector.Clear(now, notice.Fingerprint(), notice.Server()))
	case notice.Lifted():
		h.lift(now, notice.Fingerprint())
	case !h.countCrash(now, notice):
		h.sendClearance(notice.Fingerprint(), notice.Server())
	}
	if notice.Relayed() {
		h.broadcaster.Broadcast(notice)
	}
}

// observeCrash processes a server's crash observed by this VM.
func (h *handler[P]) observeCrash(now time.Time, notice brrequest.PoisonNotice) {
	if !h.countCrash(now, notice) {
		return
	}
	h.events.Record(brevent.New(brevent.KindPoisonSuspected).
		WithResource(notice.Server()).
		WithDetail("fingerprint", notice.Fingerprint().String()))
	if len(h.observed) < maxObserved {
		h.observed = append(h.observed, notice)
	}
	h.broadcaster.Broadcast(notice)
}

// countCrash counts a server's crash against a request. It returns false if the request is
// known to be harmless.
func (h *handler[P]) countCrash(now time.Time, notice brrequest.PoisonNotice) bool {
	finding := h.detector.RecordCrash(now, notice.Fingerprint(), notice.Server())
	h.keep(now)
	if finding == brpoison.Confirmed {
		h.publish(now)
		h.events.Record(brevent.New(brevent.KindPoisonRefused).
			WithResource(notice.Server()).
			WithDetail("fingerprint", notice.Fingerprint().String()))
	}
	return finding != brpoison.Cleared
}

func (h *handler[P]) lift(now time.Time, fingerprint brrequest.Fingerprint) bool {
	lifted := h.detector.Lift(now, fingerprint)
	h.endRefusal(now, fingerprint, lifted)
	return lifted
}

// endRefusal publishes and records that a refusal has ended, if one was active.
func (h *handler[P]) endRefusal(now time.Time, fingerprint brrequest.Fingerprint, active bool) {
	if active {
		h.publish(now)
		h.events.Record(brevent.New(brevent.KindPoisonLifted).WithDetail("fingerprint", fingerprint.String()))
	}
}
