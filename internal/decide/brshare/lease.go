package brshare

import "time"

// leaseMargin is the inverse of the part of a lease that its giver waits
// longer: twice the error of a clock, as both clocks may be wrong.
const leaseMargin = clockError / 4

// HolderEnd returns the time at which a lease ends for its holder, who asked
// for it at the given time.
func HolderEnd(asked time.Time, lease time.Duration) time.Time {
	return asked.Add(lease)
}

// GiverEnd returns the time from which the giver of a lease may use the
// quantity again, if it answered at the given time.
func GiverEnd(answered time.Time, lease time.Duration) time.Time {
	return answered.Add(lease + lease/leaseMargin + 1)
}
