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
	// queueReserve is kept for the reports of other VMs: they don't send again what has been
	// received.
	queueReserve = 1024
	// closeDelay is how long after the end of a window its counts are complete. An attempt is
	// counted at most 500 ms after it was sent.
	closeDelay = 700 * time.Millisecond
	// maxReadingGap is the longest time between readings of the two clocks that belong together,
	// and maxReadings the number of attempts to get such readings.
	maxReadingGap = 5 * time.Millisecond
	maxReadings   = 3
)

// PublishPeriod is the interval at which changes are published. VMs send them every 0.4 s at
// most.
const PublishPeriod = 200 * time.Millisecond

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
	h.agreement = brusage.NewAgreement()
	for !h.read() {
		// The process did not run for a moment. The first reading is the one that all later
		// ones are compared with, so it has to be right.
		continue
	}
	h.lastClosed = terms.Number(h.now().Wall()) - 1
	h.publishTime()
	h.snapshot.Store(h.ledger.Snapshot())
	return &Counter{
		duty:    brduty.New[message, struct{}]("usage-counting", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithReserve(queueReserve), brduty.WithPeriod(PublishPeriod)),
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
	if len(usage.Counts()) > 0 || !usage.OwnTime().IsZero() || !usage.FleetTime().IsZero() {
		_ = c.duty.Queue().SendReserved(message{usage: usage, direct: direct})
	}
}

// Snapshot returns the latest counts.
func (c *Counter) Snapshot() *brusage.Snapshot { return c.handler.snapshot.Load() }

// Now returns the steady clock's reading and the time of day that the fleet agrees on.
func (c *Counter) Now() brusage.Instant {
	steady := c.handler.steady.Reading()
	return brusage.NewInstant(steady, time.Unix(0, c.handler.wallBase.Load()).Add(steady))
}

// Report returns the usage to send to another VM, which has that up to the cursor.
func (c *Counter) Report(cursor *brusage.Cursor, target string, period time.Duration) brmeter.Usage {
	usage := cursor.Next(c.handler.clock.Now(), target, c.Snapshot(), period)
	if len(usage.Counts()) == 0 {
		return usage
	}
	own := time.Unix(0, c.handler.ownBase.Load()).Add(c.handler.steady.Reading())
	return usage.WithTimes(own, time.Time{})
}

// Acknowledgement returns the usage to send in a response: the run of this VM's process, by
// which others know whether it still has their counts, and the fleet's time if it knows.
func (c *Counter) Acknowledgement() brmeter.Usage {
	usage := brmeter.NewUsage(c.run, nil)
	if c.handler.timeKnown.Load() {
		usage = usage.WithTimes(time.Time{}, c.Now().Wall())
	}
	return usage
}

// Run returns the identifier of the run of this VM's process.
func (c *Counter) Run() string { return c.run }

type handler struct {
	clock      brclock.Clock
	steady     brclock.Steady
	terms      brmeter.Terms
	corrector  brusage.Corrector
	agreement  *brusage.Agreement
	ledger     *brusage.Ledger
	lastClosed int64
	snapshot   atomic.Pointer[brusage.Snapshot]
	// ownBase and wallBase are the time of day in nanoseconds when the steady clock read 0, by
	// this VM's own clock and as the fleet agrees on.
	ownBase   atomic.Int64
	wallBase  atomic.Int64
	timeKnown atomic.Bool
}

// own returns the time by this VM's own clock. Readings between which the process did not run
// for a moment are not used: they would look like a step, or hide one.
func (h *handler) own() brusage.Instant {
	for range maxReadings {
		if h.read() {
			break
		}
	}
	return h.corrector.At(h.steady.Reading())
}

// read reads both clocks, and reports whether the readings belong together.
func (h *handler) read() bool {
	before, timeOfDay := h.steady.Reading(), h.clock.Now()
	if h.steady.Reading()-before > maxReadingGap {
		return false
	}
	h.corrector.Correct(before, timeOfDay)
	return true
}

// now returns the time of day that the fleet agrees on.
func (h *handler) now() brusage.Instant {
	own := h.own()
	return brusage.NewInstant(own.Steady(), own.Wall().Add(h.agreement.Offset()))
}

func (h *handler) publishTime() {
	own := h.own()
	base := own.Wall().UnixNano() - int64(own.Steady())
	h.ownBase.Store(base)
	h.wallBase.Store(base + int64(h.agreement.Offset()))
	h.timeKnown.Store(h.agreement.Known())
}

// observeTimes records the times that another VM told.
func (h *handler) observeTimes(usage brmeter.Usage) {
	own := h.own()
	if told := usage.OwnTime(); !told.IsZero() {
		h.agreement.Observe(own, usage.Run(), told)
	}
	if told := usage.FleetTime(); !told.IsZero() {
		h.agreement.ObserveFleet(own, told)
	}
}

// Handle counts one request or adds the counts of another VM.
func (h *handler) Handle(_ context.Context, m message) {
	if m.organisation == "" {
		h.observeTimes(m.usage)
		for _, counts := range m.usage.Counts() {
			h.ledger.Merge(counts, m.direct)
		}
		return
	}
	elapsed := h.clock.Now().Sub(m.at) // by the monotonic clock
	h.ledger.Add(h.terms.Number(h.now().Wall().Add(-elapsed)), m.organisation)
}

// Update does nothing: the duty uses no snapshots.
func (*handler) Update(context.Context, struct{}) {}

// Tick closes the windows that are over and publishes the counts if they have changed.
func (h *handler) Tick(context.Context, time.Time) {
	h.publishTime()
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
