// Package brpoisoning provides the duty that knows the requests of which
// servers die.
//
// # Usage
//
//	poisoning := brpoisoning.New(clock, timeline, telling)
//	group.Start(poisoning.Duty())
//	verdict := poisoning.Begin(ctx, fingerprint)
//	poisoning.Killed(fingerprint, "ledger-1")
package brpoisoning

import (
	"context"
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
)

// Teller tells other VMs.
type Teller interface {
	// Tell passes a notice on without waiting.
	Tell(notice brrequest.PoisonNotice)
}

type action int

const (
	actionBegin action = iota
	actionRan
	actionEnded
	actionKilled
	actionHear
	actionLift
	actionList
)

type message struct {
	action      action
	fingerprint brrequest.Fingerprint
	notice      brrequest.PoisonNotice
	reply       brring.Reply[answer]
}

type answer struct {
	verdict  brpoison.Verdict
	lifted   bool
	refusals []brpoison.Refusal
}

// Poisoning is the duty with the calls that reach it.
type Poisoning struct {
	duty    *brduty.Duty[message, struct{}]
	answers *brring.ReplyPool[answer]
}

// New returns the duty.
func New(clock brclock.Clock, events brevent.Recorder, teller Teller) *Poisoning {
	h := &handler{clock: clock, events: events, teller: teller, watch: brpoison.NewWatch()}
	return &Poisoning{
		duty:    brduty.New[message, struct{}]("poisoning", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithPeriod(expiryPeriod)),
		answers: brring.NewReplyPool[answer](),
	}
}

// Duty returns the duty to be started.
func (p *Poisoning) Duty() brduty.Runner { return p.duty }

// Begin returns whether a request may run now. A full ring lets it wait.
func (p *Poisoning) Begin(ctx context.Context, fingerprint brrequest.Fingerprint) brpoison.Verdict {
	got, err := p.ask(ctx, message{action: actionBegin, fingerprint: fingerprint})
	if err != nil {
		return brpoison.Waits
	}
	return got.verdict
}

// Ran tells that a server ran a request to its end.
func (p *Poisoning) Ran(fingerprint brrequest.Fingerprint) {
	_ = p.duty.Queue().Send(message{action: actionRan, fingerprint: fingerprint})
}

// Ended tells that a request ended in a way that says nothing of it.
func (p *Poisoning) Ended(fingerprint brrequest.Fingerprint) {
	_ = p.duty.Queue().Send(message{action: actionEnded, fingerprint: fingerprint})
}

// Killed tells that a server died while it ran a request.
func (p *Poisoning) Killed(fingerprint brrequest.Fingerprint, server string) {
	_ = p.duty.Queue().Send(message{action: actionKilled, notice: brrequest.NewPoisonNotice(fingerprint, server)})
}

// Hear takes the notice of another VM.
func (p *Poisoning) Hear(notice brrequest.PoisonNotice) {
	_ = p.duty.Queue().Send(message{action: actionHear, notice: notice})
}

// Lift ends the refusal of a request on all VMs, and reports whether this VM refused it.
func (p *Poisoning) Lift(ctx context.Context, fingerprint brrequest.Fingerprint) (bool, error) {
	got, err := p.ask(ctx, message{action: actionLift, fingerprint: fingerprint})
	return got.lifted, err
}

// Refusals returns the requests that are refused.
func (p *Poisoning) Refusals(ctx context.Context) ([]brpoison.Refusal, error) {
	got, err := p.ask(ctx, message{action: actionList})
	return got.refusals, err
}

func (p *Poisoning) ask(ctx context.Context, m message) (answer, error) {
	got, err := brring.Ask(ctx, p.duty.Queue(), p.answers, func(reply brring.Reply[answer]) message {
		m.reply = reply
		return m
	})
	if err != nil {
		return answer{}, errors.Errorf("ask for poison requests: %w", err)
	}
	return got, nil
}

type handler struct {
	clock  brclock.Clock
	events brevent.Recorder
	teller Teller
	watch  *brpoison.Watch
}

// Handle takes what happened, or a question.
func (h *handler) Handle(_ context.Context, m message) {
	now := h.clock.Now()
	switch m.action {
	case actionBegin:
		m.reply.Answer(answer{verdict: h.watch.Begin(now, m.fingerprint)})
	case actionRan:
		h.watch.Ran(m.fingerprint)
	case actionEnded:
		h.watch.Ended(m.fingerprint)
	case actionKilled:
		h.killed(now, m.notice)
		h.teller.Tell(m.notice)
	case actionHear:
		h.hear(now, m.notice)
	case actionLift:
		m.reply.Answer(answer{lifted: h.lift(now, m.fingerprint)})
		h.teller.Tell(brrequest.NewPoisonLift(m.fingerprint))
	case actionList:
		m.reply.Answer(answer{refusals: h.watch.Refusals(now)})
	}
}

// Update does nothing: the duty depends on no snapshot.
func (*handler) Update(context.Context, struct{}) {}

// Tick forgets what is over.
func (h *handler) Tick(_ context.Context, now time.Time) {
	h.watch.Expire(now)
}

func (h *handler) hear(now time.Time, notice brrequest.PoisonNotice) {
	if notice.Lifted() {
		h.lift(now, notice.Fingerprint())
	} else {
		h.killed(now, notice)
	}
	if notice.Relayed() {
		h.teller.Tell(notice)
	}
}

func (h *handler) killed(now time.Time, notice brrequest.PoisonNotice) {
	if h.watch.Killed(now, notice.Fingerprint(), notice.Server()) {
		h.events.Record(brevent.New(brevent.KindPoisonRefused).
			WithResource(notice.Server()).
			WithDetail("fingerprint", notice.Fingerprint().String()))
	}
}

func (h *handler) lift(now time.Time, fingerprint brrequest.Fingerprint) bool {
	lifted := h.watch.Lift(now, fingerprint)
	if lifted {
		h.events.Record(brevent.New(brevent.KindPoisonLifted).WithDetail("fingerprint", fingerprint.String()))
	}
	return lifted
}
