package brclock

import (
	"sync"
	"time"
)

// Fake is a clock for tests that advances only when Advance is called. It is safe
// for concurrent use.
type Fake struct {
	mutex  sync.Mutex
	now    time.Time
	timers []*fakeTimer
}

// NewFake returns a fake clock set to the given time.
func NewFake(now time.Time) *Fake {
	return &Fake{now: now}
}

// Now implements Clock.
func (f *Fake) Now() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.now
}

// Advance moves the clock forward and fires all timers that are due.
func (f *Fake) Advance(by time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.now = f.now.Add(by)
	for _, t := range f.timers {
		t.fireIfDue(f.now)
	}
}

// NewTimer returns a timer that fires once the clock has advanced by the delay.
func (f *Fake) NewTimer(delay time.Duration) Timer {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	t := &fakeTimer{clock: f, due: f.now.Add(delay), armed: true, channel: make(chan time.Time, 1)}
	f.timers = append(f.timers, t)
	t.fireIfDue(f.now)
	return t
}

type fakeTimer struct {
	clock   *Fake
	due     time.Time
	armed   bool
	channel chan time.Time
}

func (t *fakeTimer) fireIfDue(now time.Time) {
	if !t.armed || now.Before(t.due) {
		return
	}
	t.armed = false
	select {
	case t.channel <- now:
	default:
	}
}

func (t *fakeTimer) C() <-chan time.Time { return t.channel }

func (t *fakeTimer) Stop() bool {
	t.clock.mutex.Lock()
	defer t.clock.mutex.Unlock()
	wasArmed := t.armed
	t.armed = false
	return wasArmed
}

func (t *fakeTimer) Reset(delay time.Duration) {
	t.clock.mutex.Lock()
	defer t.clock.mutex.Unlock()
	t.due = t.clock.now.Add(delay)
	t.armed = true
	t.fireIfDue(t.clock.now)
}
