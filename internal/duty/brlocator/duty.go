// Package brlocator provides the duty that answers look-ups of callers, who ask which entry
// VMs they should use.
//
// Responses depend on the configuration and on the health of the VMs and their sites, as
// derived from the list of members.
//
// # Usage
//
//	locator := brlocator.New(clock)
//	membership.Subscribe(locator.Members())
//	group.Start(locator.Duty())
//	response, err := locator.Locate(ctx, client)
package brlocator

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
	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

const (
	queueCapacity = 4096 // look-ups
	tickPeriod    = 100 * time.Millisecond
)

type message struct {
	client netip.Addr
	reply  brring.Reply[brlocation.Response]
}

// Locator is the duty and its client methods, which may be called concurrently.
type Locator struct {
	duty    *brduty.Duty[message, *brconfig.Snapshot]
	members *brring.Latest[brmember.List]
	answers *brring.ReplyPool[brlocation.Response]
	metrics *metrics
}

// New returns the duty. Its responses are empty until it has received a configuration.
func New(clock brclock.Clock) *Locator {
	members := brring.NewLatest[brmember.List]()
	h := &handler{clock: clock, members: members, locator: brlookup.NewLocator(brconfig.NewSnapshot()), health: brlookup.NewHealthTracker()}
	return &Locator{
		duty:    brduty.New("steering", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithPeriod(tickPeriod)),
		members: members,
		answers: brring.NewReplyPool[brlocation.Response](),
		metrics: newMetrics(),
	}
}

// Duty returns the duty for a group to start.
func (l *Locator) Duty() brduty.Runner { return l.duty }

// Snapshots returns the ring that receives the configuration.
func (l *Locator) Snapshots() *brring.Latest[*brconfig.Snapshot] { return l.duty.Snapshots() }

// Members returns the ring that receives the list of members.
func (l *Locator) Members() *brring.Latest[brmember.List] { return l.members }

// Locate returns the entry VMs that the caller at an address should use.
func (l *Locator) Locate(ctx context.Context, client netip.Addr) (brlocation.Response, error) {
	response, err := brring.Ask(ctx, l.duty.Queue(), l.answers, func(reply brring.Reply[brlocation.Response]) message {
		return message{client: client, reply: reply}
	})
	l.metrics.count(response, err)
	if err != nil {
		return brlocation.Response{}, errors.Errorf("locate client: %w", err)
	}
	return response, nil
}

type handler struct {
	clock   brclock.Clock
	members *brring.Latest[brmember.List]
	locator *brlookup.Locator
	health  *brlookup.HealthTracker
}

// Handle answers one look-up.
func (h *handler) Handle(_ context.Context, m message) {
	h.receiveMembers()
	m.reply.Answer(h.locator.Locate(m.client))
}

// Update applies a new configuration.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	h.locator = h.locator.Advance(snapshot)
	h.health.Configure(snapshot)
	h.updateAvailability(h.clock.Now())
}

// Tick applies changes that come with time: drains that start, and sites that have been
// healthy again for long enough.
func (h *handler) Tick(_ context.Context, now time.Time) {
	h.receiveMembers()
	h.updateAvailability(now)
}

func (h *handler) receiveMembers() {
	if members, ok := h.members.TryReceive(); ok {
		h.health.Observe(members)
		h.updateAvailability(h.clock.Now())
	}
}

func (h *handler) updateAvailability(now time.Time) {
	if availability, changed := h.health.Evaluate(now); changed {
		h.locator = h.locator.WithAvailability(availability)
	}
}
