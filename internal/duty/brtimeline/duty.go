// Package brtimeline provides the duty that keeps a VM's timeline, the log of its recent
// events.
//
// It timestamps events, holds the newest ones in a ring buffer of fixed size and serves
// them by position. A reader that falls behind by more than the buffer holds sees a gap
// between the position that it requested and the first one that it receives.
//
// # Usage
//
//	timeline := brtimeline.New("vm-1", "montevideo-a", clock)
//	group.Start(timeline.Duty())
//	timeline.Record(brevent.New(brevent.KindVMStarted))
//	page, err := timeline.Read(ctx, 0, 100)
package brtimeline

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

const (
	queueCapacity   = 8192  // messages
	historyCapacity = 16384 // events
)

// Page is a contiguous part of the timeline.
type Page struct {
	events   []brevent.Event
	position uint64
}

// NewPage returns a page of events and the position after the last of them.
func NewPage(events []brevent.Event, position uint64) Page {
	return Page{events: events, position: position}
}

// Events returns the events, oldest first. The caller must not change the slice.
func (p Page) Events() []brevent.Event { return p.events }

// Position returns the position from which to read the next page.
func (p Page) Position() uint64 { return p.position }

type message struct {
	event    brevent.Event
	observed broption.Option[brclock.Timestamp]
	isRead   bool
	after    uint64
	limit    int
	reply    brring.Reply[Page]
}

// Timeline is the duty and its client methods, which may be called concurrently.
type Timeline struct {
	duty  *brduty.Duty[message, struct{}]
	pages *brring.ReplyPool[Page]
}

// New returns the timeline of a VM in the given failure domain.
func New(vm, domain string, clock brclock.Clock) *Timeline {
	h := &handler{vm: vm, domain: domain, hybrid: brclock.NewHybrid(clock)}
	return &Timeline{
		duty:  brduty.New[message, struct{}]("timeline", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithoutTicks()),
		pages: brring.NewReplyPool[Page](),
	}
}

// Duty returns the duty for a group to start.
func (t *Timeline) Duty() brduty.Runner { return t.duty }

// Record appends an event without waiting.
func (t *Timeline) Record(event brevent.Event) {
	_ = t.duty.Queue().Send(message{event: event})
}

// Observe advances the VM's hybrid clock beyond a timestamp received from another VM.
func (t *Timeline) Observe(timestamp brclock.Timestamp) {
	_ = t.duty.Queue().Send(message{observed: broption.Some(timestamp)})
}

// Read returns up to limit events after a position.
func (t *Timeline) Read(ctx context.Context, after uint64, limit int) (Page, error) {
	page, err := brring.Ask(ctx, t.duty.Queue(), t.pages, func(reply brring.Reply[Page]) message {
		return message{isRead: true, after: after, limit: limit, reply: reply}
	})
	if err != nil {
		return Page{}, errors.Errorf("read timeline: %w", err)
	}
	return page, nil
}

type handler struct {
	vm     string
	domain string
	hybrid *brclock.Hybrid
	events []brevent.Event
	next   uint64 // position after the newest event
}

// Handle appends an event, observes a timestamp or serves a read.
func (h *handler) Handle(_ context.Context, m message) {
	if m.isRead {
		m.reply.Answer(h.page(m.after, m.limit))
		return
	}
	if timestamp, ok := m.observed.Get(); ok {
		h.hybrid.Observe(timestamp)
		return
	}
	h.store(m.event.WithOrigin(h.hybrid.Next(), h.vm, h.domain))
}

// Update does nothing: the duty uses no snapshots.
func (*handler) Update(context.Context, struct{}) {}

// Tick does nothing: the duty runs without ticks.
func (*handler) Tick(context.Context, time.Time) {}

func (h *handler) store(event brevent.Event) {
	if len(h.events) < historyCapacity {
		h.events = append(h.events, event)
	} else {
		h.events[h.next%historyCapacity] = event
	}
	h.next++
}

func (h *handler) page(after uint64, limit int) Page {
	oldest := h.next - uint64(len(h.events))
	from := min(max(after, oldest), h.next)
	to := min(h.next, from+uint64(max(limit, 0)))
	events := make([]brevent.Event, 0, to-from)
	for position := from; position < to; position++ {
		events = append(events, h.events[position%historyCapacity])
	}
	return NewPage(events, to)
}
