package soak

import (
	"slices"
	"sync"
	"time"

	"bergamotroad.example/bergamotroad/platform/brstandin"
)

// regions maps failure domains to their regions.
var regions = map[string]string{"n-a": "north", "n-b": "north", "s-a": "south", "s-b": "south"}

var domains = []string{"n-a", "n-b", "s-a", "s-b"}

func contains(list []string, text string) bool { return slices.Contains(list, text) }

// revision is a configuration with the times at which it was written and replaced.
type revision struct {
	services map[string]string // by route
	keys     map[string]bool   // organisations whose key is valid
	acked    time.Time
	replaced time.Time
}

// inForce reports whether a request that was sent at a time may be handled by the
// revision. There is no lower bound: VMs may apply a revision before the write of it
// has returned.
func (r revision) inForce(sent time.Time) bool {
	return r.replaced.IsZero() || sent.Sub(r.replaced) <= applyTime
}

// rules is the history of configurations and evacuations that operators requested.
type rules struct {
	mutex     sync.Mutex
	revisions []revision
	evacuated map[string]time.Time
}

func newRules() *rules { return &rules{evacuated: map[string]time.Time{}} }

// configure records a configuration that is about to be written.
func (r *rules) configure(routes []brstandin.Route, organisations []brstandin.Organisation, withdrawn map[string]bool) {
	next := revision{services: map[string]string{}, keys: map[string]bool{}, acked: time.Now()}
	for _, route := range routes {
		next.services[route.Name()] = route.Service()
	}
	for _, o := range organisations {
		next.keys[o.Name()] = !withdrawn[o.Name()]
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if last := len(r.revisions) - 1; last >= 0 {
		r.revisions[last].replaced = next.acked
	}
	r.revisions = append(r.revisions, next)
}

func (r *rules) any(holds func(revision) bool) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.ContainsFunc(r.revisions, holds)
}

func (r *rules) everAllowed(route, service string) bool {
	return r.any(func(v revision) bool { return v.services[route] == service })
}

func (r *rules) allowedAt(route, service string, sent time.Time) bool {
	return r.any(func(v revision) bool { return v.services[route] == service && v.inForce(sent) })
}

func (r *rules) keyAllowedAt(organisation string, sent time.Time) bool {
	return r.any(func(v revision) bool { return v.keys[organisation] && v.inForce(sent) })
}

func (r *rules) keyAlwaysAllowed(organisation string) bool {
	return !r.any(func(v revision) bool { return !v.keys[organisation] })
}

// evacuate records the start or the end of the evacuation of a failure domain.
func (r *rules) evacuate(domain string, on bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if on {
		r.evacuated[domain] = time.Now()
		return
	}
	delete(r.evacuated, domain)
}

func (r *rules) evacuatedSince(domain string) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.evacuated[domain]
}
