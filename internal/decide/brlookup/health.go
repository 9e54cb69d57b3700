package brlookup

import (
	"maps"
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

// recoveryHold is how long a site that lost all its VMs must have been available
// again before callers are directed to it as usual.
const recoveryHold = 30 * time.Second

// Availability is the set of VMs and sites that look-ups exclude or defer. It is
// immutable.
type Availability struct {
	excluded   map[string]bool // VMs that are dead, have left or are drained
	recovering map[string]bool // sites that recovered less than recoveryHold ago
}

// HealthTracker derives the availability of VMs and sites from the configuration and
// the membership. It is not safe for concurrent use.
type HealthTracker struct {
	snapshot     *brconfig.Snapshot
	down         map[string]bool // VMs that are dead or have left
	sites        map[string]siteHealth
	availability Availability
	dirty        bool
	next         time.Time // when the next drain starts or hold of a recovered site ends
}

type siteHealth struct {
	lost        bool
	recoveredAt time.Time // when it recovered; zero if it was never lost
}

// NewHealthTracker returns a tracker with an empty configuration and no members.
func NewHealthTracker() *HealthTracker {
	return &HealthTracker{snapshot: brconfig.NewSnapshot(), sites: map[string]siteHealth{}}
}

// Configure replaces the configuration.
func (h *HealthTracker) Configure(snapshot *brconfig.Snapshot) {
	kinds := []brconfig.Kind{brconfig.KindVM, brconfig.KindSite, brconfig.KindDomain, brconfig.KindDrain}
	h.dirty = h.dirty || snapshot.KindsChangedSince(h.snapshot.Generation(), kinds...)
	h.snapshot = snapshot
}

// Observe replaces the membership states of the VMs.
func (h *HealthTracker) Observe(members brmember.List) {
	down := map[string]bool{}
	for _, m := range members.All() {
		if !m.Usable() {
			down[m.Name()] = true
		}
	}
	h.dirty = h.dirty || !maps.Equal(down, h.down)
	h.down = down
}

// Evaluate returns the availability at a time and whether it changed since the last
// call.
func (h *HealthTracker) Evaluate(now time.Time) (Availability, bool) {
	if !h.dirty && (h.next.IsZero() || now.Before(h.next)) {
		return h.availability, false
	}
	h.dirty = false
	h.next = time.Time{}
	before := h.availability
	h.availability.excluded = h.excluded(now)
	h.availability.recovering = h.recovering(now)
	changed := !maps.Equal(before.excluded, h.availability.excluded) || !maps.Equal(before.recovering, h.availability.recovering)
	return h.availability, changed
}

func (h *HealthTracker) excluded(now time.Time) map[string]bool {
	drained := map[brconfig.Reference]bool{}
	for d := range h.snapshot.Drains().All() {
		if now.Before(d.Start()) {
			h.scheduleEvaluation(d.Start())
			continue
		}
		drained[d.Target()] = true
	}
	excluded := maps.Clone(h.down)
	if excluded == nil {
		excluded = map[string]bool{}
	}
	if len(drained) == 0 {
		return excluded
	}
	for v := range h.snapshot.VMs().All() {
		if slices.ContainsFunc(h.referencesOf(v), func(r brconfig.Reference) bool { return drained[r] }) {
			excluded[v.Name()] = true
		}
	}
	return excluded
}

// referencesOf returns references to a VM and to its site, failure domain and region.
func (h *HealthTracker) referencesOf(v brconfig.VM) []brconfig.Reference {
	references := []brconfig.Reference{
		brconfig.NewReference(brconfig.KindVM, v.Name()),
		brconfig.NewReference(brconfig.KindSite, v.Site()),
	}
	site, ok := h.snapshot.Sites().Get(v.Site()).Get()
	if !ok {
		return references
	}
	references = append(references, brconfig.NewReference(brconfig.KindDomain, site.Domain()))
	if domain, ok := h.snapshot.Domains().Get(site.Domain()).Get(); ok {
		references = append(references, brconfig.NewReference(brconfig.KindRegion, domain.Region()))
	}
	return references
}

func (h *HealthTracker) recovering(now time.Time) map[string]bool {
	usable := map[string]bool{} // by site with VMs
	for v := range h.snapshot.VMs().All() {
		usable[v.Site()] = usable[v.Site()] || !h.availability.excluded[v.Name()]
	}
	sites := map[string]siteHealth{}
	recovering := map[string]bool{}
	for name, alive := range usable {
		s := h.sites[name].update(now, alive)
		sites[name] = s
		if !s.recoveredAt.IsZero() && now.Before(s.recoveredAt.Add(recoveryHold)) {
			recovering[name] = true
			h.scheduleEvaluation(s.recoveredAt.Add(recoveryHold))
		}
	}
	h.sites = sites
	return recovering
}

func (s siteHealth) update(now time.Time, alive bool) siteHealth {
	switch {
	case !alive:
		return siteHealth{lost: true}
	case s.lost:
		return siteHealth{recoveredAt: now}
	default:
		return s
	}
}

// scheduleEvaluation makes Evaluate run again at a time, or earlier.
func (h *HealthTracker) scheduleEvaluation(at time.Time) {
	if h.next.IsZero() || at.Before(h.next) {
		h.next = at
	}
}
