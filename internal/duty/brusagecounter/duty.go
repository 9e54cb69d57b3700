// Package brusagecounter provides the duty that counts for usage metering: it owns the counts
// of this VM by window and organisation, and those that other VMs have sent.
//
// # Usage
//
//	counter := brusagecounter.New(clock, steady, terms, "vm-1", run)
//	group.Start(counter.Duty())
//	counter.Count("yefi", sentAt)
//	counts, known := counter.Snapshot().Total(window)
package brusagecounter

import (
	"context"
	"sync/atomic"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/decide/brusage"
	"bergamotroad.example/bergamotroad/internal/model/brmeter"
)

const (
	// queueCapacity holds the requests of a second at the rate of one VM at full load.
	queueCapacity = 8192 // messages
	// publishPeriod is the interval at which changes are published. VMs send them every
	// 0.4 s at most.
	publishPeriod = 200 * time.Millisecond
	// closeDelay is how long after the end of a window its counts are complete: attempts are
	// counted once the head of the response has arrived, usually within a second.
	closeDelay = 800 * time.Millisecond
)

type message struct {
	organisation string
	at           time.Time
	usage        brmeter.Usage
	direct       bool
}

// Counter is the duty and its client methods, which may be called concurrently.
type Counter struct {
	duty    *brduty.Duty[message, struct{}]
	handler *handler
	run     string
}

// New returns the duty of a VM in a run of its process.
func New(clock brclock.Clock, steady brclock.Steady, terms brmeter.Terms, vm, run string) *Counter {
	h := &handler{clock: clock, steady: steady, terms: terms, ledger: brusage.NewLedger(vm, run)}
	h.lastClosed = terms.Number(h.now().Wall()) - 1
	h.snapshot.Store(h.ledger.Snapshot())
	return &Counter{
		duty:    brduty.New[message, struct{}]("usage-counting", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithPeriod(publishPeriod)),
		handler: h,
		run:     run,
	}
}

// Duty returns the duty for a group to start.
func (c *Counter) Duty() brduty.Runner { return c.duty }

// Count counts a request of an organisation that was sent to a server at a time and ran, or
// may have run.
func (c *Counter) Count(organisation string, at time.Time) {
	_ = c.duty.Queue().Send(message{organisation: organisation, at: at})
}

// Merge adds the counts that another VM sent; direct means that the VM reports to this one,
// which passes them on.
func (c *Counter) Merge(usage brmeter.Usage, direct bool) {
	if len(usage.Counts()) > 0 {
		_ = c.duty.Queue().Send(message{usage: usage, direct: direct})
	}
}

// Snapshot returns the latest counts.
func (c *Counter) Snapshot() *brusage.Snapshot { return c.handler.snapshot.Load() }

// Run returns the identifier of the run of this VM's process.
func (c *Counter) Run() string { return c.run }

type handler struct {
	clock      brclock.Clock
	steady     brclock.Steady
	terms      brmeter.Terms
	corrector  brusage.Corrector
	ledger     *brusage.Ledger
	lastClosed int64
	snapshot   atomic.Pointer[brusage.Snapshot]
}

func (h *handler) now() brusage.Instant {
	return h.corrector.Correct(h.steady.Reading(), h.clock.Now())
}

// Handle counts one request or adds the counts of another VM.
func (h *handler) Handle(_ context.Context, m message) {
	if m.organisation == "" {
		for _, counts := range m.usage.Counts() {
			h.ledger.Merge(counts, m.direct)
		}
		return
	}
	elapsed := h.clock.Now().Sub(m.at)
	h.ledger.Add(h.terms.Number(h.now().Wall().Add(-elapsed)), m.organisation)
}

// Update does nothing: the duty uses no snapshots.
func (*handler) Update(context.Context, struct{}) {}

// Tick closes the windows that are over and publishes the counts if they have changed.
func (h *handler) Tick(context.Context, time.Time) {
	wall := h.now().Wall()
	closed := h.terms.Number(wall.Add(-closeDelay)) - 1
	// Time before this process started, or in which it was suspended for long, is skipped.
	for window := max(h.lastClosed+1, closed-1); window <= closed; window++ {
		h.ledger.Close(window)
	}
	h.lastClosed = max(h.lastClosed, closed)
	h.ledger.Prune(h.terms.Number(wall))
	if snapshot := h.snapshot.Load(); h.ledger.Sequence() != snapshot.Sequence() {
		h.snapshot.Store(h.ledger.Snapshot())
	}
}
