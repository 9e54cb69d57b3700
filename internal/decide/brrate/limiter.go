// Package brrate limits the rate of an action. It implements the generic cell
// rate algorithm, which needs no counter per period and no timer.
//
// # Usage
//
//	pace := brrate.New(60, time.Minute)
//	wait := pace.Take(now)
//	if wait > 0 {
//		// refuse; try again after wait
//	}
package brrate

import "time"

// Limiter allows a number of actions per period, in a burst or spread over it. It
// has one owner.
type Limiter struct {
	period   time.Duration
	interval time.Duration
	burst    time.Duration // a whole number of intervals
	nextFull time.Time     // theoretical arrival time: when the whole burst is available again
}

// New returns a limiter that allows count actions per period; a count below 1
// counts as 1.
func New(count int, period time.Duration) *Limiter {
	actions := time.Duration(max(count, 1))
	interval := period / actions
	return &Limiter{period: period, interval: interval, burst: interval * actions}
}

// Take allows an action and returns 0, or returns how long the action has to
// wait.
func (l *Limiter) Take(now time.Time) time.Duration {
	next := l.nextFull
	if next.Before(now) {
		next = now
	}
	if wait := next.Add(l.interval).Sub(now) - l.burst; wait > 0 {
		return wait
	}
	l.nextFull = next.Add(l.interval)
	return 0
}

// WithCount returns a limiter with another count that keeps the actions allowed
// so far.
func (l *Limiter) WithCount(count int) *Limiter {
	limiter := New(count, l.period)
	limiter.nextFull = l.nextFull
	return limiter
}
