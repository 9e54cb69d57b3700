package brfleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"bergamotroad.example/bergamotroad/internal/core/brset"
)

// Policy is one version of the operators' configuration. It is immutable.
type Policy struct {
	version       uint64
	limits        Limits
	routes        map[string][]Route // by host, in descending order of prefix length
	services      map[string]Service
	organisations map[string]Organisation
	keys          map[string]string // organisation names by API key
	competing     brset.Set[string] // services whose routes have different priorities
	loaded        bool
}

// NewPolicy returns a version of the configuration.
func NewPolicy(version uint64, limits Limits, routes []Route, services []Service, organisations []Organisation) Policy {
	p := Policy{
		version:       version,
		limits:        limits,
		routes:        map[string][]Route{},
		services:      make(map[string]Service, len(services)),
		organisations: make(map[string]Organisation, len(organisations)),
		keys:          map[string]string{},
		competing:     competingServices(routes),
		loaded:        true,
	}
	for _, r := range routes {
		p.routes[r.host] = append(p.routes[r.host], r)
	}
	for _, list := range p.routes {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	for _, s := range services {
		p.services[s.name] = s
	}
	for _, o := range organisations {
		p.organisations[o.name] = o
		for _, key := range o.keys {
			p.keys[key] = o.name
		}
	}
	return p
}

// Loaded reports whether a configuration has been loaded.
func (p Policy) Loaded() bool { return p.loaded }

// Version returns the configuration's version number.
func (p Policy) Version() uint64 { return p.version }

// Limits returns the limits of callers' requests.
func (p Policy) Limits() Limits { return p.limits }

// Routes returns all routes by host, those of a host in the order in which they are
// matched.
func (p Policy) Routes() []Route {
	list := []Route{}
	for _, host := range slices.Sorted(maps.Keys(p.routes)) {
		list = append(list, p.routes[host]...)
	}
	return list
}

// Organisations returns all organisations by name.
func (p Policy) Organisations() []Organisation {
	list := make([]Organisation, 0, len(p.organisations))
	for _, name := range slices.Sorted(maps.Keys(p.organisations)) {
		list = append(list, p.organisations[name])
	}
	return list
}

// Services returns all configured services by name. The map must not be modified.
func (p Policy) Services() map[string]Service { return p.services }

// Match returns the route of the host with the longest prefix that matches the path.
func (p Policy) Match(host, path string) (Route, bool) {
	for _, r := range p.routes[host] {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// AllowedRegionsOf returns the allowed regions of a host's routes. It returns false if any
// of the routes is unrestricted or the host has none.
func (p Policy) AllowedRegionsOf(host string) ([]string, bool) {
	regions := []string{}
	for _, r := range p.routes[host] {
		if r.allowedRegions.Len() == 0 {
			return nil, false
		}
		for region := range r.allowedRegions.All() {
			regions = append(regions, region)
		}
	}
	return regions, len(regions) > 0
}

// OrganisationOf returns the organisation to which an API key belongs.
func (p Policy) OrganisationOf(key string) (Organisation, bool) {
	name, ok := p.keys[key]
	if !ok {
		return Organisation{}, false
	}
	return p.organisations[name], true
}

// Organisation returns an organisation by name.
func (p Policy) Organisation(name string) (Organisation, bool) {
	organisation, ok := p.organisations[name]
	return organisation, ok
}

// Service returns a service by name, or the zero Service if it is not configured.
func (p Policy) Service(name string) Service { return p.services[name] }

// HasCompetingRoutes reports whether routes of different priorities use a service.
func (p Policy) HasCompetingRoutes(service string) bool { return p.competing.Has(service) }

// competingServices returns the services that routes of different priorities use.
func competingServices(routes []Route) brset.Set[string] {
	competing := brset.New[string]()
	priorities := map[string]int{}
	for _, r := range routes {
		for _, s := range r.services {
			priority, known := priorities[s.service]
			if known && priority != r.priority {
				competing.Add(s.service)
			}
			priorities[s.service] = r.priority
		}
	}
	return competing
}
