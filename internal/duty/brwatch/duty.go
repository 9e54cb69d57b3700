// Package brwatch provides the duties that read changes from the store, one duty for
// each area. A duty reads only while it is active, that is, while this VM reads the
// store itself rather than following another VM.
//
// # Usage
//
//	watcher := brwatch.New(clock, brrecord.AreaServers, registry, replicator, journal)
//	group.Start(watcher.Duty())
//	watcher.SetActive(true)
package brwatch

import (
	"context"
	"sync/atomic"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/duty/brreplicator"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/peer/brregistry"
)

const (
	// serversPause is the pause between two reads of the servers. Long polling doesn't
	// help here, since some server reports at any time and the poll would end at once.
	// It is a third of the time within which a server that leaves must no longer be
	// sent requests.
	serversPause = 600 * time.Millisecond
	// ordersPollTimeout is the long-poll timeout for orders. It bounds how long a dead
	// connection can delay an order.
	ordersPollTimeout = 1500 * time.Millisecond
	// slowPollTimeout is the long-poll timeout for the less urgent areas.
	slowPollTimeout = 5 * time.Second
	// initialBackoff is the pause after the first failure. It doubles with each further
	// failure, up to maxUrgentBackoff or maxSlowBackoff.
	initialBackoff   = 250 * time.Millisecond
	maxUrgentBackoff = 500 * time.Millisecond
	maxSlowBackoff   = 2 * time.Second
	idlePeriod       = time.Hour
)

// schedule sets how an area is read.
type schedule struct {
	name        string
	pollTimeout time.Duration // long-poll timeout; 0 disables long polling
	pause       time.Duration // after a success
	maxBackoff  time.Duration // after consecutive failures
}

var schedules = [brrecord.AreaCount]schedule{
	brrecord.AreaOrders:  {name: "reading-orders", pollTimeout: ordersPollTimeout, maxBackoff: maxUrgentBackoff},
	brrecord.AreaServers: {name: "reading-servers", pause: serversPause, maxBackoff: maxUrgentBackoff},
	brrecord.AreaResults: {name: "reading-results", pollTimeout: slowPollTimeout, maxBackoff: maxSlowBackoff},
	brrecord.AreaVMs:     {name: "reading-vms", pollTimeout: slowPollTimeout, maxBackoff: maxSlowBackoff},
}

// Watcher is the duty that reads one area.
type Watcher struct {
	duty    *brduty.Duty[struct{}, struct{}]
	handler *handler
}

// New returns the duty for an area.
func New(clock brclock.Clock, area brrecord.Area, registry brregistry.Registry, replicator *brreplicator.Replicator, journal *brjournal.Journal) *Watcher {
	h := &handler{clock: clock, area: area, schedule: schedules[area], registry: registry, replicator: replicator, journal: journal, available: true}
	return &Watcher{
		duty:    brduty.New[struct{}, struct{}](schedules[area].name, h, clock, brduty.WithPeriod(idlePeriod)),
		handler: h,
	}
}

// Duty returns the duty for a group to start.
func (w *Watcher) Duty() brduty.Runner { return w.duty }

// SetActive starts reading, or stops it after the call in progress.
func (w *Watcher) SetActive(active bool) {
	// A duty with a call in progress reads the flag when the call ends, so only an idle
	// one needs a message.
	if w.handler.active.Swap(active) != active && active && !w.handler.busy.Load() {
		_ = w.duty.Queue().Send(struct{}{})
	}
}

// Succeeded reports whether a read has succeeded within the given time and none has
// failed since.
func (w *Watcher) Succeeded(now time.Time, within time.Duration) bool {
	at := w.handler.lastSuccess.Load()
	return at != nil && now.Sub(*at) <= within
}

// handler owns the read state of one area.
type handler struct {
	clock       brclock.Clock
	area        brrecord.Area
	schedule    schedule
	registry    brregistry.Registry
	replicator  *brreplicator.Replicator
	journal     *brjournal.Journal
	active      atomic.Bool
	busy        atomic.Bool // a call is in progress
	nextRead    time.Time
	available   bool
	failures    int
	relists     int // consecutive lists in place of changes
	lastSuccess atomic.Pointer[time.Time]
}

// Handle does nothing: a message only wakes the duty, which then calls Due.
func (h *handler) Handle(context.Context, struct{}) {}

// Update does nothing: the duty uses no snapshots.
func (*handler) Update(context.Context, struct{}) {}

// Due returns the time until the next read, while the duty is active.
func (h *handler) Due(now time.Time) (time.Duration, bool) {
	return h.nextRead.Sub(now), h.active.Load()
}

// Tick does one read if it is due.
func (h *handler) Tick(ctx context.Context, now time.Time) {
	if !h.active.Load() || now.Before(h.nextRead) {
		return
	}
	h.busy.Store(true)
	defer h.busy.Store(false)
	batch, err := h.read(ctx)
	if err != nil {
		h.nextRead = h.clock.Now().Add(h.backoff(h.failures))
		h.handleFailure(now, err)
		return
	}
	asOf := h.asOf(now)
	h.replicator.Apply(batch, asOf, "store")
	h.lastSuccess.Store(&asOf)
	h.failures = 0
	h.nextRead = now.Add(h.schedule.pause)
	if h.relists > 1 {
		h.nextRead = h.clock.Now().Add(h.backoff(h.relists - 2))
	}
	if !h.available {
		h.available = true
		h.journal.StateChange("store regained", "area", h.schedule.name)
	}
}

// backoff returns the pause after a failure that follows a number of others.
func (h *handler) backoff(previous int) time.Duration {
	return min(initialBackoff<<min(previous, 8), h.schedule.maxBackoff)
}

// asOf returns the time as of which a response is complete: the time of the request,
// or, with long polling, the time of the response, since the store watches for changes
// until it responds.
func (h *handler) asOf(requestedAt time.Time) time.Time {
	if h.schedule.pollTimeout > 0 {
		return h.clock.Now()
	}
	return requestedAt
}

func (h *handler) read(ctx context.Context) (brrecord.Batch, error) {
	state := h.replicator.State()
	if !state.IsKnown(h.area) {
		return h.registry.List(ctx, h.area)
	}
	batch, err := h.registry.Changes(ctx, h.area, state.Revisions()[h.area], h.schedule.pollTimeout)
	if brregistry.IsErrHistoryGone(err) {
		h.relists++
		h.journal.StateChange("store forgot its history", "area", h.schedule.name, "consecutive", h.relists)
		return h.registry.List(ctx, h.area)
	}
	h.relists = 0
	return batch, err
}

func (h *handler) handleFailure(requestedAt time.Time, err error) {
	h.failures++
	h.lastSuccess.Store(nil)
	if h.area == brrecord.AreaServers {
		h.replicator.RecordFailedRead(requestedAt, h.clock.Now())
	}
	if h.available {
		h.available = false
		h.journal.StateChange("store lost", "area", h.schedule.name, "error", err.Error())
	}
}
