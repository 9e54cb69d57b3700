// Package brshare divides rate limits among VMs into shares that never sum to more than
// the limit, even if messages are lost, repeated or late and clocks differ in rate.
//
// A limit consists of a fixed number of parts. The parts of a failure domain are divided
// into slots in one row of the platform's table: a floor for each VM, which guarantees it
// a minimum, and a pool for the rest. A SlotManager decides which slots a process claims
// and renews. Each slot grants its parts under a lease. VMs lend parts to each other, also
// under leases; a Ledger keeps the balance of grants, loans and debts, and an Account
// connects it with the token bucket of one limit.
//
// A Bucket is the token bucket of one VM's share. It starts empty, so that a restart
// creates no tokens. Amounts are scaled integers, and callers pass the time in.
//
// # Usage
//
//	limit, err := brshare.NewLimit(contract, unit)
//	account := brshare.NewAccount(limit, now)
//	slots := brshare.NewSlotManager(incarnation, vm, brshare.DefaultLeaseSettings())
//	for _, grant := range slots.RecordWrite(before, row, requestedAt) {
//		account.Grant(grant.Slot(), grant.Parts(), grant.End(), now)
//	}
//	if account.Take(limit.Weight(route), now) {
//		// admitted
//	}
package brshare

import (
	"math/bits"
	"time"
)

// Share is the rate and burst that one holder may use of a limit.
type Share struct {
	perPeriod int64
	period    time.Duration
	burst     int64
}

// NewShare returns a share of perPeriod scaled units in each period with a burst.
func NewShare(perPeriod int64, period time.Duration, burst int64) Share {
	return Share{perPeriod: perPeriod, period: period, burst: burst}
}

// PerPeriod returns the scaled units that accrue in one period.
func (s Share) PerPeriod() int64 { return s.perPeriod }

// Period returns the period of the rate.
func (s Share) Period() time.Duration { return s.period }

// Burst returns the capacity of the bucket in scaled units.
func (s Share) Burst() int64 { return s.burst }

// Bucket is the token bucket of one holder's share. It is not safe for concurrent use.
type Bucket struct {
	share      Share
	level      int64
	remainder  uint64
	lastRefill time.Time
}

// NewBucket returns an empty bucket.
func NewBucket(share Share, now time.Time) *Bucket {
	return &Bucket{share: share, lastRefill: now}
}

// Level returns the units that are available at the given time.
func (b *Bucket) Level(now time.Time) int64 {
	b.refill(now)
	return b.level
}

// Take removes weight units and reports whether the bucket held enough.
func (b *Bucket) Take(weight int64, now time.Time) bool {
	b.refill(now)
	if weight < 0 || weight > b.level {
		return false
	}
	b.level -= weight
	return true
}

// SetShare replaces the share. The level is kept up to the new burst.
func (b *Bucket) SetShare(share Share, now time.Time) {
	b.refill(now)
	if share.period != b.share.period {
		b.remainder = 0
	}
	b.share = share
	b.level = min(b.level, share.burst)
}

// Wait returns the time until weight units are available if nothing else takes any. It
// returns false if they exceed the burst.
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
	wait, remainder := bits.Div64(high, low, uint64(b.share.perPeriod))
	if remainder > 0 {
		wait++
	}
	return time.Duration(wait), true
}

// refill adds the units that have accrued since the last call. It is exact: the
// remainder of the division is carried over to the next call.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.lastRefill)
	if elapsed <= 0 {
		return
	}
	b.lastRefill = now
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
