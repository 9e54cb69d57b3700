package brfinding

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/decide/brretry"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
)

const (
	kindRoute        = "route"
	kindOrganisation = "organisation"
)

// policyCheck checks a configuration against the servers, if they are known.
type policyCheck struct {
	findings
	policy     brfleet.Policy
	servers    []brfleet.Server
	hasServers bool
}

// CheckPolicy checks a configuration. Without servers, what depends on them is not checked.
func CheckPolicy(policy brfleet.Policy, servers broption.Option[[]brfleet.Server]) []Finding {
	c := &policyCheck{policy: policy}
	c.servers, c.hasServers = servers.Get()
	routes := policy.Routes()
	for i, r := range routes {
		c.match(r, routes[:i])
		c.weights(r)
		c.limits(r)
		c.route(r)
	}
	for _, o := range policy.Organisations() {
		c.keys(o)
		c.quota(o)
		c.home(o)
	}
	return c.sorted()
}

// match checks that some request matches the route. Earlier routes take precedence.
func (c *policyCheck) match(r brfleet.Route, earlier []brfleet.Route) {
	if r.Host() == "" {
		c.add(SeverityError, CodeNeverMatches, kindRoute, r.Name(), "host", "has no host")
	}
	if r.Prefix() != "" && !strings.HasPrefix(r.Prefix(), "/") {
		c.add(SeverityError, CodeNeverMatches, kindRoute, r.Name(), "prefix", "prefix %q does not begin with /, as all paths do", r.Prefix())
		return
	}
	// All paths begin with a slash, so that an empty prefix matches no more than "/".
	shortest := cmp.Or(r.Prefix(), "/")
	for _, e := range earlier {
		if e.Host() == r.Host() && strings.HasPrefix(shortest, e.Prefix()) {
			c.add(SeverityError, CodeShadowed, kindRoute, r.Name(), "prefix", "route %q with prefix %q takes all its requests", e.Name(), e.Prefix())
			return
		}
	}
}

func (c *policyCheck) weights(r brfleet.Route) {
	zero := []string{}
	for _, s := range r.WeightedServices() {
		if s.Weight() <= 0 {
			zero = append(zero, s.Service())
		}
	}
	switch {
	case len(zero) == 0:
	case len(zero) == len(r.WeightedServices()):
		c.add(SeverityError, CodeWeightZero, kindRoute, r.Name(), "services", "all weights are 0")
	default:
		c.add(SeverityWarning, CodeWeightZero, kindRoute, r.Name(), "services", "weight 0: %s gets no requests", strings.Join(zero, ", "))
	}
}

// limits checks that the times and attempts of a route agree with each other.
func (c *policyCheck) limits(r brfleet.Route) {
	if r.Timeout() < r.TargetLatency() {
		c.add(SeverityError, CodeTimeout, kindRoute, r.Name(), "timeout", "timeout %s is below the latency objective %s", r.Timeout(), r.TargetLatency())
	}
	switch retries := r.Attempts() - 1; {
	case retries > brretry.MaxRetries:
		c.add(SeverityError, CodeAttemptsBudget, kindRoute, r.Name(), "attempts", "%d attempts; the retry budget of a service holds %d retries at most", r.Attempts(), brretry.MaxRetries)
	case retries > 0 && !r.Idempotent():
		c.add(SeverityWarning, CodeAttemptsUnused, kindRoute, r.Name(), "attempts", "%d attempts, but its requests must not run more than once", r.Attempts())
	default:
	}
}

// route checks that the services of a route have servers in its allowed regions.
func (c *policyCheck) route(r brfleet.Route) {
	for _, s := range r.WeightedServices() {
		if _, known := c.policy.Services()[s.Service()]; !known && len(c.policy.Services()) > 0 {
			c.add(SeverityWarning, CodeServiceUnknown, kindRoute, r.Name(), "services", "service %q is not configured", s.Service())
		}
		if !c.hasServers || s.Weight() <= 0 {
			continue
		}
		regions := c.regionsOf(func(server brfleet.Server) bool { return server.Service() == s.Service() })
		if regions.Len() == 0 {
			c.add(SeverityError, CodeServiceWithoutServer, kindRoute, r.Name(), "services", "service %q has no server", s.Service())
			continue
		}
		c.allowedRegions(kindRoute, r.Name(), "a server of "+s.Service(), r.AllowedRegions(), regions)
	}
}

// allowedRegions checks that the allowed regions are among those that have servers.
func (c *policyCheck) allowedRegions(kind, name, what string, allowed, served brset.Set[string]) {
	missing := []string{}
	for _, region := range brset.Sorted(allowed) {
		if !served.Has(region) {
			missing = append(missing, region)
		}
	}
	switch {
	case len(missing) == 0:
	case len(missing) == allowed.Len():
		c.add(SeverityError, CodeRegionWithoutServer, kind, name, "allowedRegions", "no allowed region has %s: %s", what, strings.Join(missing, ", "))
	default:
		c.add(SeverityWarning, CodeRegionWithoutServer, kind, name, "allowedRegions", "%s: without %s", strings.Join(missing, ", "), what)
	}
}

// regionsOf returns the regions of the servers for which the function returns true.
func (c *policyCheck) regionsOf(includes func(brfleet.Server) bool) brset.Set[string] {
	regions := brset.New[string]()
	for _, s := range c.servers {
		if includes(s) {
			regions.Add(s.Region())
		}
	}
	return regions
}

// keys checks that an organisation is recognised by its keys.
func (c *policyCheck) keys(o brfleet.Organisation) {
	if len(o.Keys()) == 0 {
		c.add(SeverityWarning, CodeKeyMissing, kindOrganisation, o.Name(), "keys", "has no key")
	}
	for i, key := range o.Keys() {
		owner, _ := c.policy.OrganisationOf(key)
		switch {
		case key == "":
			c.add(SeverityError, CodeNeverMatches, kindOrganisation, o.Name(), "keys", "key %d is empty", i+1)
		case owner.Name() != o.Name():
			c.add(SeverityError, CodeKeyShared, kindOrganisation, o.Name(), "keys", "key %d belongs to organisation %q too, which gets its requests", i+1, owner.Name())
		default:
		}
	}
}

func (c *policyCheck) quota(o brfleet.Organisation) {
	if !o.Limited() {
		return
	}
	if o.Burst() < 1 {
		c.add(SeverityError, CodeBurst, kindOrganisation, o.Name(), "burst", "burst %v is below one request: none is ever admitted", o.Burst())
	}
	if !c.hasServers {
		return
	}
	if capacity := c.capacity(o); capacity > 0 && o.Rate() > capacity {
		c.add(SeverityWarning, CodeRate, kindOrganisation, o.Name(), "rate", "rate %v/s is above the %.0f/s that the servers in its regions carry within their latency objectives", o.Rate(), capacity)
	}
}

// capacity returns how many requests a second the servers in an organisation's regions
// finish if each takes as long as the shortest latency objective of its service, or 0 if
// that is not known.
func (c *policyCheck) capacity(o brfleet.Organisation) float64 {
	objectives := map[string]time.Duration{}
	for _, r := range c.policy.Routes() {
		for _, s := range r.WeightedServices() {
			if known, ok := objectives[s.Service()]; r.TargetLatency() > 0 && (!ok || r.TargetLatency() < known) {
				objectives[s.Service()] = r.TargetLatency()
			}
		}
	}
	capacity := 0.0
	for _, s := range c.servers {
		objective, ok := objectives[s.Service()]
		if ok && (o.AllowedRegions().Len() == 0 || o.AllowedRegions().Has(s.Region())) {
			capacity += float64(s.Slots()) / objective.Seconds()
		}
	}
	return capacity
}

// home checks that the organisation's requests may run somewhere.
func (c *policyCheck) home(o brfleet.Organisation) {
	if c.hasServers {
		c.allowedRegions(kindOrganisation, o.Name(), "a server", o.AllowedRegions(), c.regionsOf(func(brfleet.Server) bool { return true }))
	}
	if o.AllowedRegions().Len() == 0 {
		return
	}
	disjoint := []string{}
	for _, r := range c.policy.Routes() {
		both := func(region string) bool { return r.AllowedRegions().Has(region) }
		if r.AllowedRegions().Len() > 0 && !slices.ContainsFunc(brset.Sorted(o.AllowedRegions()), both) {
			disjoint = append(disjoint, r.Name())
		}
	}
	if len(disjoint) > 0 {
		c.add(SeverityWarning, CodeRegionsDisjoint, kindOrganisation, o.Name(), "allowedRegions", "shares no allowed region with %d routes, such as %q", len(disjoint), disjoint[0])
	}
}
