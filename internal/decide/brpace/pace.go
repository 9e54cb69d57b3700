// Package brpace decides whether one more action keeps to a rate.
//
// # Usage
//
//	pace := brpace.New(60, time.Minute)
//	wait := pace.Take(now)
//	if wait > 0 {
//		// refuse; the next one may come after wait
//	}
package brpace

import "time"

// Pace lets through a number of actions in any period, all at once or spread.
// It has one owner.
type Pace struct {
	period   time.Duration
	interval time.Duration
	burst    time.Duration // a whole number of intervals
	next     time.Time     // when all actions let through so far are paid off
}

// New returns a pace of count actions a period; a count below one counts as one.
func New(count int, period time.Duration) *Pace {
	actions := time.Duration(max(count, 1))
	interval := period / actions
	return &Pace{period: period, interval: interval, burst: interval * actions}
}

// Take lets one action through and returns 0, or returns how long it has to wait.
func (p *Pace) Take(now time.Time) time.Duration {
	next := p.next
	if next.Before(now) {
		next = now
	}
	if wait := next.Add(p.interval).Sub(now) - p.burst; wait > 0 {
		return wait
	}
	p.next = next.Add(p.interval)
	return 0
}

// WithCount returns the pace for another count, with what was let through so far.
func (p *Pace) WithCount(count int) *Pace {
	changed := New(count, p.period)
	changed.next = p.next
	return changed
}
