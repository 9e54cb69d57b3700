package brlookup

import (
	"maps"
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

// returnTime is how long a site that lost all its VMs must have been available
// again before callers are directed to it as usual.
const returnTime = 30 * time.Second

// Fitness is the set of VMs and sites that look-ups exclude or defer. It is
// immutable.
type Fitness struct {
	unfit map[string]bool // VMs that are dead, have left or are drained
	held  map[string]bool // sites that recovered less than returnTime ago
}

// Health tracks the availability of VMs and sites and derives what look-ups
// exclude or defer.
type Health struct {
	snapshot *brconfig.Snapshot
	gone     map[string]bool // VMs that are dead or have left
	sites    map[string]siteHealth
	fitness  Fitness
	stale    bool
	next     time.Time // when the next drain starts or hold of a recovered site ends
}

type siteHealth struct {
	lost bool
	back time.Time // when it recovered; zero if it was never lost
}

// NewHealth returns a tracker with an empty configuration and no members.
func NewHealth() *Health {
	return &Health{snapshot: brconfig.NewSnapshot(), sites: map[string]siteHealth{}}
}

// Configure replaces the configuration.
func (h *Health) Configure(snapshot *brconfig.Snapshot) {
	kinds := []brconfig.Kind{brconfig.KindVM, brconfig.KindSite, brconfig.KindDomain, brconfig.KindDrain}
	h.stale = h.stale || snapshot.TouchedSince(h.snapshot.Generation(), kinds...)
	h.snapshot = snapshot
}

// Observe replaces the membership states of the VMs.
func (h *Health) Observe(members brmember.List) {
	gone := map[string]bool{}
	for _, m := range members.All() {
		if !m.Usable() {
			gone[m.Name()] = true
		}
	}
	h.stale = h.stale || !maps.Equal(gone, h.gone)
	h.gone = gone
}

// Judge returns the fitness at a time and whether it changed since the last call.
func (h *Health) Judge(now time.Time) (Fitness, bool) {
	if !h.stale && (h.next.IsZero() || now.Before(h.next)) {
		return h.fitness, false
	}
	h.stale = false
	h.next = time.Time{}
	before := h.fitness
	h.fitness.unfit = h.unfit(now)
	h.fitness.held = h.held(now)
	changed := !maps.Equal(before.unfit, h.fitness.unfit) || !maps.Equal(before.held, h.fitness.held)
	return h.fitness, changed
}

func (h *Health) unfit(now time.Time) map[string]bool {
	drained := map[brconfig.Reference]bool{}
	for d := range h.snapshot.Drains().All() {
		if now.Before(d.At()) {
			h.wake(d.At())
			continue
		}
		drained[d.Target()] = true
	}
	unfit := maps.Clone(h.gone)
	if unfit == nil {
		unfit = map[string]bool{}
	}
	if len(drained) == 0 {
		return unfit
	}
	for v := range h.snapshot.VMs().All() {
		if slices.ContainsFunc(h.placesOf(v), func(r brconfig.Reference) bool { return drained[r] }) {
			unfit[v.Name()] = true
		}
	}
	return unfit
}

// placesOf returns references to a VM and to its site, failure domain and region.
func (h *Health) placesOf(v brconfig.VM) []brconfig.Reference {
	places := []brconfig.Reference{
		brconfig.NewReference(brconfig.KindVM, v.Name()),
		brconfig.NewReference(brconfig.KindSite, v.Site()),
	}
	site, ok := h.snapshot.Sites().Get(v.Site()).Get()
	if !ok {
		return places
	}
	places = append(places, brconfig.NewReference(brconfig.KindDomain, site.Domain()))
	if domain, ok := h.snapshot.Domains().Get(site.Domain()).Get(); ok {
		places = append(places, brconfig.NewReference(brconfig.KindRegion, domain.Region()))
	}
	return places
}

func (h *Health) held(now time.Time) map[string]bool {
	fit := map[string]bool{} // by site with VMs
	for v := range h.snapshot.VMs().All() {
		fit[v.Site()] = fit[v.Site()] || !h.fitness.unfit[v.Name()]
	}
	sites := map[string]siteHealth{}
	held := map[string]bool{}
	for name, alive := range fit {
		s := h.sites[name].observe(now, alive)
		sites[name] = s
		if !s.back.IsZero() && now.Before(s.back.Add(returnTime)) {
			held[name] = true
			h.wake(s.back.Add(returnTime))
		}
	}
	h.sites = sites
	return held
}

func (s siteHealth) observe(now time.Time, alive bool) siteHealth {
	switch {
	case !alive:
		return siteHealth{lost: true}
	case s.lost:
		return siteHealth{back: now}
	default:
		return s
	}
}

// wake makes Judge evaluate again at a time, or earlier.
func (h *Health) wake(at time.Time) {
	if h.next.IsZero() || at.Before(h.next) {
		h.next = at
	}
}
