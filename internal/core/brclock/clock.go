// Package brclock provides clocks as dependencies, so that tests can control time.
//
// A Clock is passed to the constructor of each component that reads the time or
// sets timers. System is the clock of the operating system. Fake is a clock for
// tests that advances only on request. Hybrid is a hybrid logical clock, whose
// timestamps order events across all VMs.
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

// Clock returns the current time and creates timers. The difference between two
// readings of the same clock is monotonic.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// NewTimer returns a timer that fires once after the delay.
	NewTimer(delay time.Duration) Timer
}

// Timer fires once.
type Timer interface {
	// C returns the channel on which the timer sends the time when it fires.
	C() <-chan time.Time
	// Stop disarms the timer and reports whether it was armed.
	Stop() bool
	// Reset arms the timer to fire once after the delay.
	Reset(delay time.Duration)
}

// System is the clock of the operating system.
type System struct{}

// NewSystem returns the clock of the operating system.
func NewSystem() System {
	return System{}
}

// Now implements Clock.
func (System) Now() time.Time {
	return time.Now()
}

// NewTimer implements Clock.
func (System) NewTimer(delay time.Duration) Timer {
	return &systemTimer{timer: time.NewTimer(delay)}
}

type systemTimer struct {
	timer *time.Timer
}

func (t *systemTimer) C() <-chan time.Time { return t.timer.C }

func (t *systemTimer) Stop() bool { return t.timer.Stop() }

func (t *systemTimer) Reset(delay time.Duration) { t.timer.Reset(delay) }
