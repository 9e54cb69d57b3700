// Package brshare divides limits into shares that never sum to more than the
// limit.
//
// A Bucket is what one VM may use of a rate and burst. It starts empty, so that
// a restart mints nothing. Amounts are scaled integers; time is passed in.
//
// # Usage
//
//	bucket := brshare.NewBucket(share, now)
//	if bucket.Take(weight, now) {
//		// admitted
//	}
package brshare

import (
	"math/bits"
	"time"
)

// Share is the part of a limit that one holder may use.
type Share struct {
	perPeriod int64
	period    time.Duration
	burst     int64
}

// NewShare returns a share of so many scaled units a period, with a burst.
func NewShare(perPeriod int64, period time.Duration, burst int64) Share {
	return Share{perPeriod: perPeriod, period: period, burst: burst}
}

// PerPeriod returns the scaled units of one period.
func (s Share) PerPeriod() int64 { return s.perPeriod }

// Period returns the period.
func (s Share) Period() time.Duration { return s.period }

// Burst returns the scaled units that may be used at once.
func (s Share) Burst() int64 { return s.burst }

// Bucket is the state of one holder's share. It has one owner.
type Bucket struct {
	share     Share
	level     int64
	remainder uint64
	updated   time.Time
}

// NewBucket returns an empty bucket.
func NewBucket(share Share, now time.Time) *Bucket {
	return &Bucket{share: share, updated: now}
}

// Level returns the units that may be used at the time.
func (b *Bucket) Level(now time.Time) int64 {
	b.refill(now)
	return b.level
}

// Take uses weight units and reports whether there were enough.
func (b *Bucket) Take(weight int64, now time.Time) bool {
	b.refill(now)
	if weight < 0 || weight > b.level {
		return false
	}
	b.level -= weight
	return true
}

// Change replaces the share. What the bucket holds is kept up to the new burst.
func (b *Bucket) Change(share Share, now time.Time) {
	b.refill(now)
	if share.period != b.share.period {
		b.remainder = 0
	}
	b.share = share
	b.level = min(b.level, share.burst)
}

// Wait returns how long it takes until weight units are there, if nothing else
// uses them, and false where the burst never holds so many.
func (b *Bucket) Wait(weight int64, now time.Time) (time.Duration, bool) {
	b.refill(now)
	missing := weight - b.level
	if missing <= 0 {
		return 0, true
	}
	if weight > b.share.burst || b.share.perPeriod <= 0 {
		return 0, false
	}
	high, low := bits.Mul64(uint64(missing), uint64(b.share.period))
	if high >= uint64(b.share.perPeriod) {
		return 0, false
	}
	wait, rest := bits.Div64(high, low, uint64(b.share.perPeriod))
	if rest > 0 {
		wait++
	}
	return time.Duration(wait), true
}

// refill adds what has accrued since the last time, exactly: the remainder of
// the division is carried over to the next time.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	if b.share.period <= 0 || b.share.perPeriod <= 0 {
		return
	}
	high, low := bits.Mul64(uint64(elapsed), uint64(b.share.perPeriod))
	low, carry := bits.Add64(low, b.remainder, 0)
	high += carry
	if high >= uint64(b.share.period) {
		b.level, b.remainder = b.share.burst, 0
		return
	}
	accrued, remainder := bits.Div64(high, low, uint64(b.share.period))
	b.remainder = remainder
	if accrued >= uint64(b.share.burst-b.level) {
		b.level, b.remainder = b.share.burst, 0
		return
	}
	b.level += int64(accrued)
}
