package brduty

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
)

// watchdogPeriod is the watchdog's check interval. A duty is reported as stalled if it
// processes none of its pending messages within this time.
const watchdogPeriod = 2 * time.Second

// Runner is a duty with any message and snapshot type.
type Runner interface {
	// Name returns the duty's name.
	Name() string
	// Progress returns the current state of the duty.
	Progress() Progress
	// Run processes messages until the context is done.
	Run(ctx context.Context)
}

// Progress is a reading of a duty's counters.
type Progress struct {
	rounds   uint64 // completed iterations of the duty's loop
	waiting  int    // messages and snapshots
	capacity int
	dropped  uint64
	ended    bool
}

// Waiting returns the number of pending messages, including an unprocessed
// snapshot.
func (p Progress) Waiting() int { return p.waiting }

// Capacity returns the capacity of the duty's queue in messages.
func (p Progress) Capacity() int { return p.capacity }

// Dropped returns the number of messages rejected by the full queue so far.
func (p Progress) Dropped() uint64 { return p.dropped }

// Ended reports whether the duty's goroutine has returned.
func (p Progress) Ended() bool { return p.ended }

// StalledSince reports whether messages have been pending since the earlier reading
// without the duty making any progress.
func (p Progress) StalledSince(earlier Progress) bool {
	return !p.ended && p.waiting > 0 && earlier.waiting > 0 && p.rounds == earlier.rounds
}

// Observer is notified of failures of duties.
type Observer interface {
	// DutyStalled is called when a duty does not process its pending messages.
	DutyStalled(name string, waiting int)
	// DutyPanicked is called when a duty has panicked.
	DutyPanicked(name string, value any, stack []byte)
}

// ErrPanicked is the cause of a group's termination after a duty panicked.
type ErrPanicked struct {
	duty  string
	value any
}

// Error returns a message with the duty's name and the value of the panic.
func (e ErrPanicked) Error() string {
	return fmt.Sprintf("duty %q panicked: %v", e.duty, e.value)
}

// Group runs a set of duties. A panic in one of them stops all.
type Group struct {
	clock    brclock.Clock
	observer Observer
	wait     sync.WaitGroup
	cancel   context.CancelCauseFunc
	context  context.Context
}

// NewGroup returns a group whose duties stop when ctx is done.
func NewGroup(ctx context.Context, clock brclock.Clock, observer Observer) *Group {
	groupContext, cancel := context.WithCancelCause(ctx)
	return &Group{clock: clock, observer: observer, cancel: cancel, context: groupContext}
}

// Context returns the context of the duties. It is cancelled when the group stops;
// its cause is ErrPanicked if a duty panicked.
func (g *Group) Context() context.Context { return g.context }

// Start runs each duty in its own goroutine, plus one watchdog for all of them.
func (g *Group) Start(duties ...Runner) {
	for _, d := range duties {
		g.wait.Go(func() { g.run(d) })
	}
	g.wait.Go(func() { g.runWatchdog(duties) })
}

// Stop cancels all duties and waits until they have returned.
func (g *Group) Stop() {
	g.cancel(nil)
	g.wait.Wait()
}

func (g *Group) run(d Runner) {
	defer func() {
		if value := recover(); value != nil {
			g.observer.DutyPanicked(d.Name(), value, debug.Stack())
			g.cancel(ErrPanicked{duty: d.Name(), value: value})
		}
	}()
	d.Run(g.context)
}

func (g *Group) runWatchdog(duties []Runner) {
	timer := g.clock.NewTimer(watchdogPeriod)
	defer timer.Stop()
	earlier := make([]Progress, len(duties))
	for i, d := range duties {
		earlier[i] = d.Progress()
	}
	for {
		select {
		case <-g.context.Done():
			return
		case <-timer.C():
		}
		for i, d := range duties {
			earlier[i] = g.checkStall(d, earlier[i])
		}
		timer.Reset(watchdogPeriod)
	}
}

// checkStall reports a stalled duty to the observer and returns its current progress.
func (g *Group) checkStall(d Runner, earlier Progress) Progress {
	now := d.Progress()
	if now.StalledSince(earlier) {
		g.observer.DutyStalled(d.Name(), now.Waiting())
	}
	return now
}
