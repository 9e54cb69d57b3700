package brfleet

import "bergamotroad.example/bergamotroad/internal/core/brset"

// Organisation is a customer, whose callers authenticate with API keys. It is
// immutable.
type Organisation struct {
	name           string
	keys           []string
	priority       int
	rate           float64
	burst          float64
	allowedRegions brset.Set[string]
}

// NewOrganisation returns an organisation with the keys of its callers.
func NewOrganisation(name string, keys ...string) Organisation {
	return Organisation{name: name, keys: keys}
}

// WithPriority returns the organisation with its priority, 0 being the highest.
func (o Organisation) WithPriority(priority int) Organisation {
	o.priority = priority
	return o
}

// WithQuota returns the organisation with its rate in requests per second and its
// burst in requests; a rate of 0 means no limit.
func (o Organisation) WithQuota(rate, burst float64) Organisation {
	o.rate = rate
	o.burst = burst
	return o
}

// WithAllowedRegions returns the organisation with the regions that may serve it; none
// means that every region may.
func (o Organisation) WithAllowedRegions(regions ...string) Organisation {
	o.allowedRegions = brset.New(regions...)
	return o
}

// Name returns the organisation's name.
func (o Organisation) Name() string { return o.name }

// Keys returns the API keys of its callers. The slice must not be modified.
func (o Organisation) Keys() []string { return o.keys }

// Priority returns the priority, 0 being the highest.
func (o Organisation) Priority() int { return o.priority }

// Rate returns the limit in requests per second over all VMs; 0 means no limit.
func (o Organisation) Rate() float64 { return o.rate }

// Burst returns the number of requests that may arrive at once beyond the rate.
func (o Organisation) Burst() float64 { return o.burst }

// Limited reports whether the organisation has a quota.
func (o Organisation) Limited() bool { return o.rate > 0 }

// AllowedRegions returns the regions that may serve the organisation; an empty set means
// that every region may.
func (o Organisation) AllowedRegions() brset.Set[string] { return o.allowedRegions }
