// Package brrate limits the rate of an action. It implements the generic cell
// rate algorithm, which needs no counter per period and no timer.
//
// # Usage
//
//	limiter := brrate.New(60, time.Minute)
//	if wait := limiter.Take(now); wait > 0 {
//		// refuse; try again after wait
//	}
package brrate

import "time"

// Limiter allows a number of actions per period, in a burst or spread over the
// period. It is not safe for concurrent use.
type Limiter struct {
	period   time.Duration
	interval time.Duration
	burst    time.Duration // a whole number of intervals
	nextFull time.Time     // theoretical arrival time, at which the whole burst is available again
}

// New returns a limiter that allows count actions per period; a count below 1
// counts as 1.
func New(count int, period time.Duration) *Limiter {
	actions := time.Duration(max(count, 1))
	interval := period / actions
	return &Limiter{period: period, interval: interval, burst: interval * actions}
}

// Take allows an action and returns 0, or refuses it and returns after how long it
// is allowed.
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

// WithCount returns a limiter with another count. The actions that were allowed so
// far count against it.
func (l *Limiter) WithCount(count int) *Limiter {
	limiter := New(count, l.period)
	limiter.nextFull = l.nextFull
	return limiter
}
