// Package brforwarding provides the duty that chooses entry VMs of other
// failure domains, and owns what this VM has seen of them.
//
// # Usage
//
//	forwarding := brforwarding.New("montevideo-a", clock)
//	group.Start(forwarding.Duty())
//	target, ok := forwarding.Next(ctx, "lookup", nil)
//	forwarding.Report(target, brrequest.OutcomeAnswered)
package brforwarding

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

// Forwarding is the duty with the calls that reach it.
type Forwarding struct {
	duty    *brduty.Duty[message, *brconfig.Snapshot]
	targets *brring.ReplyPool[broption.Option[brrequest.Target]]
}

// New returns the duty for a VM of a failure domain.
func New(domain string, clock brclock.Clock) *Forwarding {
	h := &handler{clock: clock, chooser: brforward.NewChooser(domain)}
	return &Forwarding{
		duty:    brduty.New("forwarding", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithoutTicks()),
		targets: brring.NewReplyPool[broption.Option[brrequest.Target]](),
	}
}

// Duty returns the duty to be started.
func (f *Forwarding) Duty() brduty.Runner { return f.duty }

// Snapshots returns the ring that takes the configuration.
func (f *Forwarding) Snapshots() *brring.Latest[*brconfig.Snapshot] { return f.duty.Snapshots() }

// Next returns the best VM for a service in none of the tried domains.
func (f *Forwarding) Next(ctx context.Context, service string, tried []string) (brrequest.Target, bool) {
	answer, err := brring.Ask(ctx, f.duty.Queue(), f.targets, func(reply brring.Reply[broption.Option[brrequest.Target]]) message {
		return message{service: service, tried: tried, reply: reply}
	})
	if err != nil {
		return brrequest.Target{}, false
	}
	return answer.Get()
}

// Report takes how a request at a VM ended.
func (f *Forwarding) Report(target brrequest.Target, kind brrequest.OutcomeKind) {
	_ = f.duty.Queue().Send(message{report: broption.Some(report{target: target, kind: kind})})
}

type handler struct {
	clock   brclock.Clock
	chooser *brforward.Chooser
}

// Handle chooses or takes a report.
func (h *handler) Handle(_ context.Context, m message) {
	if r, ok := m.report.Get(); ok {
		h.chooser.Report(h.clock.Now(), r.target, r.kind)
		return
	}
	m.reply.Answer(h.chooser.Next(h.clock.Now(), m.service, m.tried))
}

// Update takes a new configuration.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	h.chooser.Update(snapshot)
}

// Tick does nothing.
func (*handler) Tick(context.Context, time.Time) {}
