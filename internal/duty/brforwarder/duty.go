// Package brforwarder provides the duty that selects entry VMs of other failure domains
// to forward requests to. It owns the state of those VMs as observed by this VM.
//
// # Usage
//
//	selector := brforwarder.New("montevideo-a", clock)
//	group.Start(selector.Duty())
//	target, ok := selector.Next(ctx, "lookup", nil)
//	selector.Report(target, brrequest.OutcomeAnswered)
package brforwarder

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brforward"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const queueCapacity = 4096 // messages

type message struct {
	report  broption.Option[report]
	service string
	tried   []string
	reply   brring.Reply[broption.Option[brrequest.Target]]
}

type report struct {
	target brrequest.Target
	kind   brrequest.OutcomeKind
}

// Selector is the duty and its client methods, which may be called concurrently.
type Selector struct {
	duty    *brduty.Duty[message, *brconfig.Snapshot]
	targets *brring.ReplyPool[broption.Option[brrequest.Target]]
}

// New creates the duty for a VM of the failure domain without starting it.
func New(domain string, clock brclock.Clock) *Selector {
	h := &handler{clock: clock, chooser: brforward.NewChooser(domain)}
	return &Selector{
		duty:    brduty.New("forwarding", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithoutTicks()),
		targets: brring.NewReplyPool[broption.Option[brrequest.Target]](),
	}
}

// Duty returns the duty to start.
func (s *Selector) Duty() brduty.Runner { return s.duty }

// Snapshots returns the ring that receives configuration snapshots.
func (s *Selector) Snapshots() *brring.Latest[*brconfig.Snapshot] { return s.duty.Snapshots() }

// Next returns the best VM for a service outside the failure domains already tried. It
// returns false if there is none.
func (s *Selector) Next(ctx context.Context, service string, tried []string) (brrequest.Target, bool) {
	answer, err := brring.Ask(ctx, s.duty.Queue(), s.targets, func(reply brring.Reply[broption.Option[brrequest.Target]]) message {
		return message{service: service, tried: tried, reply: reply}
	})
	if err != nil {
		return brrequest.Target{}, false
	}
	return answer.Get()
}

// Report records the outcome of a request that was forwarded to a VM. The report is
// dropped if the queue is full.
func (s *Selector) Report(target brrequest.Target, kind brrequest.OutcomeKind) {
	_ = s.duty.Queue().Send(message{report: broption.Some(report{target: target, kind: kind})})
}

type handler struct {
	clock   brclock.Clock
	chooser *brforward.Chooser
}

// Handle selects a VM or records a report.
func (h *handler) Handle(_ context.Context, m message) {
	if r, ok := m.report.Get(); ok {
		h.chooser.Report(h.clock.Now(), r.target, r.kind)
		return
	}
	m.reply.Answer(h.chooser.Next(h.clock.Now(), m.service, m.tried))
}

// Update applies a new configuration.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	h.chooser.Update(snapshot)
}

// Tick does nothing: the duty runs without ticks.
func (*handler) Tick(context.Context, time.Time) {}
