package brplacement

import (
	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
)

// Exposure is the fraction of requests that this VM may send to the target
// version of a rollout. It is immutable.
type Exposure struct {
	revision brrecord.Revision
	fraction float64
	halted   bool
}

// NewExposure returns the exposure for the rollout of the given revision.
func NewExposure(revision brrecord.Revision, fraction float64) Exposure {
	return Exposure{revision: revision, fraction: fraction}
}

// WithHalted returns the exposure with whether the rollout is halted, in which
// case its target gets no requests.
func (e Exposure) WithHalted(halted bool) Exposure {
	e.halted = halted
	return e
}

// versions decides which versions of a service may run a request.
type versions struct {
	proven brset.Set[string] // versions that need no rollout
}

// update records the target of a succeeded rollout as proven, and initially the
// versions that run without a rollout.
func (v *versions) update(servers []brfleet.Server, rollout brfleet.Rollout, hasRollout bool) {
	if hasRollout && rollout.State() == brfleet.RolloutSucceeded {
		v.proven.Add(rollout.Target())
	}
	if v.proven.Len() > 0 {
		return
	}
	for _, s := range servers {
		if !hasRollout || s.Version() != rollout.Target() {
			v.proven.Add(s.Version())
		}
	}
}

// choose returns predicates for the versions that may run a request, in order of
// preference: the first one for which a server is found applies.
func (v *versions) choose(request string, rollout brfleet.Rollout, hasRollout bool, exposure Exposure) []func(version string) bool {
	if !hasRollout {
		return []func(string) bool{v.proven.Has}
	}
	target := func(version string) bool { return version == rollout.Target() }
	old := func(version string) bool { return version != rollout.Target() && v.proven.Has(version) }
	switch rollout.State() {
	case brfleet.RolloutSucceeded:
		return []func(string) bool{target}
	case brfleet.RolloutRolledBack:
		return []func(string) bool{old}
	default:
		known := exposure.revision == rollout.Revision()
		if known && !exposure.halted && hashFraction("exposure", request) < exposure.fraction {
			return []func(string) bool{target, old}
		}
		return []func(string) bool{old}
	}
}
