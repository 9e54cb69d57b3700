package brfleet

import "time"

// Bounds are the limits that the operators' contract sets for the behaviour of
// the fleet. They are immutable.
type Bounds struct {
	grace         time.Duration
	lookupTTL     time.Duration
	quotaWindow   time.Duration
	quotaOverage  float64
	quotaSlack    float64
	exposureSlack float64
	exposureShare float64
	retryRatio    float64
	retrySlack    float64
}

// NewBounds returns bounds with the grace period for shutting down a process and
// the maximum time for which a look-up may be cached.
func NewBounds(grace, lookupTTL time.Duration) Bounds {
	return Bounds{grace: grace, lookupTTL: lookupTTL}
}

// WithQuotas returns the bounds with the permitted excess over an organisation's
// quota in a window: overage as a ratio of the quota, and slack as a number of
// requests on top of it.
func (b Bounds) WithQuotas(window time.Duration, overage, slack float64) Bounds {
	b.quotaWindow, b.quotaOverage, b.quotaSlack = window, overage, slack
	return b
}

// WithExposure returns the bounds with the requests that a version may get before its
// rollout has succeeded: a share of the service's requests, and a number on top.
func (b Bounds) WithExposure(share, slack float64) Bounds {
	b.exposureShare, b.exposureSlack = share, slack
	return b
}

// Grace returns the grace period for shutting down a process.
func (b Bounds) Grace() time.Duration { return b.grace }

// LookupTTL returns the maximum time for which a look-up may be cached.
func (b Bounds) LookupTTL() time.Duration { return b.lookupTTL }

// QuotaWindow returns the window over which an organisation's requests are counted.
func (b Bounds) QuotaWindow() time.Duration { return b.quotaWindow }

// QuotaOverage returns the permitted excess over a quota, as a ratio of the quota.
func (b Bounds) QuotaOverage() float64 { return b.quotaOverage }

// QuotaSlack returns the number of requests permitted beyond quota and overage.
func (b Bounds) QuotaSlack() float64 { return b.quotaSlack }

// ExposureShare returns the maximum share of a service's requests that a version
// may get before its rollout has succeeded.
func (b Bounds) ExposureShare() float64 { return b.exposureShare }

// ExposureSlack returns the number of requests that a version may get on top of the share.
func (b Bounds) ExposureSlack() float64 { return b.exposureSlack }

// WithRetries returns the bounds with the attempts after the first ones that a service may
// get from all VMs in some seconds: a ratio of its requests, and a number on top.
func (b Bounds) WithRetries(ratio, slack float64) Bounds {
	b.retryRatio, b.retrySlack = ratio, slack
	return b
}

// RetryRatio returns the attempts after the first ones that a service may get, as a ratio of
// its requests.
func (b Bounds) RetryRatio() float64 { return b.retryRatio }

// RetrySlack returns the number of attempts that a service may get on top of the ratio.
func (b Bounds) RetrySlack() float64 { return b.retrySlack }
