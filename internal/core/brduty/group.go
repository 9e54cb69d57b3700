package brduty

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
)

// stallAfter is how long a duty may leave waiting messages untouched before
// the watchdog reports it.
const stallAfter = 2 * time.Second

// Runner is a duty of any message type.
type Runner interface {
	// Name returns the duty's name.
	Name() string
	// Progress returns how far the duty has come.
	Progress() Progress
	// Run handles messages until the context ends.
	Run(ctx context.Context)
}

// Progress is a reading of a duty's advance.
type Progress struct {
	rounds   uint64
	waiting  int
	capacity int
	dropped  uint64
	ended    bool
}

// Waiting returns the number of messages that wait for the duty.
func (p Progress) Waiting() int { return p.waiting }

// Capacity returns how many messages the duty's queue holds.
func (p Progress) Capacity() int { return p.capacity }

// Dropped returns how many messages found the queue full so far.
func (p Progress) Dropped() uint64 { return p.dropped }

// Ended reports whether the duty's goroutine has returned.
func (p Progress) Ended() bool { return p.ended }

// StalledSince reports whether messages wait and none was taken since the earlier reading.
func (p Progress) StalledSince(earlier Progress) bool {
	return !p.ended && p.waiting > 0 && earlier.waiting > 0 && p.rounds == earlier.rounds
}

// Observer hears what goes wrong with duties.
type Observer interface {
	// DutyStalled is called when a duty takes no messages although some wait.
	DutyStalled(name string, waiting int)
	// DutyPanicked is called when a duty has panicked.
	DutyPanicked(name string, value any, stack []byte)
}

// ErrPanicked says that a duty panicked.
type ErrPanicked struct {
	duty  string
	value any
}

// Error returns the duty's name and the value of the panic.
func (e ErrPanicked) Error() string {
	return fmt.Sprintf("duty %q panicked: %v", e.duty, e.value)
}

// Group runs duties together.
type Group struct {
	clock    brclock.Clock
	observer Observer
	wait     sync.WaitGroup
	cancel   context.CancelCauseFunc
	context  context.Context
}

// NewGroup returns a group whose duties end with the context.
func NewGroup(ctx context.Context, clock brclock.Clock, observer Observer) *Group {
	inner, cancel := context.WithCancelCause(ctx)
	return &Group{clock: clock, observer: observer, cancel: cancel, context: inner}
}

// Context returns the context that ends when the group does; its cause tells why.
func (g *Group) Context() context.Context { return g.context }

// Start runs each duty on a goroutine of its own, and one watchdog beside them.
func (g *Group) Start(duties ...Runner) {
	for _, d := range duties {
		g.wait.Go(func() { g.run(d) })
	}
	g.wait.Go(func() { g.watch(duties) })
}

// Stop ends all duties and waits for them.
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

func (g *Group) watch(duties []Runner) {
	timer := g.clock.NewTimer(stallAfter)
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
			earlier[i] = g.compare(d, earlier[i])
		}
		timer.Reset(stallAfter)
	}
}

// compare reports a duty that stands still and returns how far it has come.
func (g *Group) compare(d Runner, earlier Progress) Progress {
	now := d.Progress()
	if now.StalledSince(earlier) {
		g.observer.DutyStalled(d.Name(), now.Waiting())
	}
	return now
}
