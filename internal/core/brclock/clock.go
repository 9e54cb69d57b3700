// Package brclock provides the clock that every part is given when it is made.
//
// System is the machine's clock. Fake is moved by hand, for tests. Hybrid
// stamps events so that they can be ordered over all VMs.
//
// # Usage
//
//	clock := brclock.NewSystem()
//	started := clock.Now()
//	timer := clock.NewTimer(time.Second)
//	defer timer.Stop()
//	<-timer.C()
package brclock

import "time"

// Clock tells the time and makes timers. Durations between two readings of
// one clock are monotonic.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// NewTimer returns a timer that fires once after the delay.
	NewTimer(delay time.Duration) Timer
}

// Timer fires once.
type Timer interface {
	// C returns the channel on which the time is sent.
	C() <-chan time.Time
	// Stop prevents the timer from firing and reports whether it did so.
	Stop() bool
	// Reset arms the timer again.
	Reset(delay time.Duration)
}

// System is the machine's clock.
type System struct{}

// NewSystem returns the machine's clock.
func NewSystem() System {
	return System{}
}

// Now returns the machine's time.
func (System) Now() time.Time {
	return time.Now()
}

// NewTimer returns a timer of the machine.
func (System) NewTimer(delay time.Duration) Timer {
	return &systemTimer{timer: time.NewTimer(delay)}
}

type systemTimer struct {
	timer *time.Timer
}

func (t *systemTimer) C() <-chan time.Time { return t.timer.C }

func (t *systemTimer) Stop() bool { return t.timer.Stop() }

func (t *systemTimer) Reset(delay time.Duration) { t.timer.Reset(delay) }
