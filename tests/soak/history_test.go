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

// revision is a configuration with the times at which it and the next one were about to
// be written.
type revision struct {
	services map[string]string // by route
	keys     map[string]bool   // organisations whose key is valid
	written  time.Time
	replaced time.Time
}

// inForce reports whether a VM may handle a request sent at a time by the revision, which
// it may for applyTime after the revision was replaced. There is no lower bound: VMs may
// apply a revision before the call that writes it returns.
func (r revision) inForce(sent time.Time) bool {
	return r.replaced.IsZero() || sent.Sub(r.replaced) <= applyTime
}

// configHistory is the history of configurations and evacuations that operators requested.
type configHistory struct {
	mutex     sync.Mutex
	revisions []revision
	evacuated map[string]time.Time
}

func newConfigHistory() *configHistory { return &configHistory{evacuated: map[string]time.Time{}} }

// configure records a configuration that is about to be written.
func (h *configHistory) configure(routes []brstandin.Route, organisations []brstandin.Organisation, revoked map[string]bool) {
	next := revision{services: map[string]string{}, keys: map[string]bool{}, written: time.Now()}
	for _, route := range routes {
		next.services[route.Name()] = route.Service()
	}
	for _, o := range organisations {
		next.keys[o.Name()] = !revoked[o.Name()]
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if last := len(h.revisions) - 1; last >= 0 {
		h.revisions[last].replaced = next.written
	}
	h.revisions = append(h.revisions, next)
}

func (h *configHistory) anyRevision(holds func(revision) bool) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.ContainsFunc(h.revisions, holds)
}

// everAllowed reports whether any revision routes the route to the service.
func (h *configHistory) everAllowed(route, service string) bool {
	return h.anyRevision(func(r revision) bool { return r.services[route] == service })
}

// allowedAt reports whether a revision in force for a request sent at a time routes the
// route to the service.
func (h *configHistory) allowedAt(route, service string, sent time.Time) bool {
	return h.anyRevision(func(r revision) bool { return r.services[route] == service && r.inForce(sent) })
}

func (h *configHistory) keyAllowedAt(organisation string, sent time.Time) bool {
	return h.anyRevision(func(r revision) bool { return r.keys[organisation] && r.inForce(sent) })
}

func (h *configHistory) keyAlwaysAllowed(organisation string) bool {
	return !h.anyRevision(func(r revision) bool { return !r.keys[organisation] })
}

// evacuate records the start or the end of the evacuation of a failure domain.
func (h *configHistory) evacuate(domain string, on bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if on {
		h.evacuated[domain] = time.Now()
		return
	}
	delete(h.evacuated, domain)
}

// evacuatedSince returns when the evacuation of a failure domain began, or the zero time.
func (h *configHistory) evacuatedSince(domain string) time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.evacuated[domain]
}
