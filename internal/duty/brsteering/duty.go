// Package brsteering provides the duty that answers look-ups: which entry VMs
// a caller should use.
//
// # Usage
//
//	steering := brsteering.New(clock)
//	group.Start(steering.Duty())
//	answer, err := steering.Locate(ctx, client)
package brsteering

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brlookup"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brlocation"
)

const queueCapacity = 4096 // look-ups

type message struct {
	client netip.Addr
	reply  brring.Reply[brlocation.Answer]
}

// Steering is the duty with the calls that reach it.
type Steering struct {
	duty    *brduty.Duty[message, *brconfig.Snapshot]
	answers *brring.ReplyPool[brlocation.Answer]
	metrics *metrics
}

// New returns the duty; its answers are empty before the first snapshot.
func New(clock brclock.Clock) *Steering {
	h := &handler{locator: brlookup.NewLocator(brconfig.NewSnapshot())}
	return &Steering{
		duty:    brduty.New("steering", h, clock, brduty.WithCapacity(queueCapacity)),
		answers: brring.NewReplyPool[brlocation.Answer](),
		metrics: newMetrics(),
	}
}

// Duty returns the duty to be started.
func (s *Steering) Duty() brduty.Runner { return s.duty }

// Snapshots returns the ring that takes the configuration.
func (s *Steering) Snapshots() *brring.Latest[*brconfig.Snapshot] { return s.duty.Snapshots() }

// Locate returns the VMs that a caller should use.
func (s *Steering) Locate(ctx context.Context, client netip.Addr) (brlocation.Answer, error) {
	answer, err := brring.Ask(ctx, s.duty.Queue(), s.answers, func(reply brring.Reply[brlocation.Answer]) message {
		return message{client: client, reply: reply}
	})
	s.metrics.count(answer, err)
	if err != nil {
		return brlocation.Answer{}, errors.Errorf("locate client: %w", err)
	}
	return answer, nil
}

type handler struct {
	locator *brlookup.Locator
}

// Handle answers one look-up.
func (h *handler) Handle(_ context.Context, m message) {
	m.reply.Answer(h.locator.Locate(m.client))
}

// Update takes a new configuration.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	h.locator = h.locator.Advance(snapshot)
}

// Tick does nothing.
func (*handler) Tick(context.Context, time.Time) {}
