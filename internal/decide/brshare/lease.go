package brshare

import "time"

// leaseMarginDivisor is the inverse of the fraction of a lease that its grantor waits in
// addition. The fraction is at least twice the clock error, since both clocks may be
// wrong.
const leaseMarginDivisor = clockErrorDivisor / 4

// HolderExpiry returns the time at which a lease ends for its holder, counted from the
// request.
func HolderExpiry(requestedAt time.Time, lease time.Duration) time.Time {
	return requestedAt.Add(lease)
}

// GrantorExpiry returns the time from which the grantor of a lease may use the quantity
// again, counted from its response.
func GrantorExpiry(grantedAt time.Time, lease time.Duration) time.Time {
	return grantedAt.Add(lease + lease/leaseMarginDivisor + 1)
}
