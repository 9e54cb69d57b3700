// Package brdistribution decides how new configurations are distributed to a VM.
//
// The VMs of a failure domain are ranked by rendezvous hash. The first few poll
// the platform; the others sync from those. There is no leader election: VMs that
// disagree about the members only cause an additional poll or an additional hop. A
// VM whose configuration becomes stale polls the platform itself, less often the
// lower its rank, so that VMs don't poll the platform all at once during an outage.
//
// # Usage
//
//	plan := brdistribution.NewPlan("vm-1", "montevideo-a", members)
//	if plan.ShouldPoll(brdistribution.NewFreshness(age, failures), sinceLastPoll) {
//		// read the head
//	}
//	for _, source := range plan.Sources() {
//		// ask source
//	}
package brdistribution

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

const (
	// pollers is the number of VMs of a failure domain that poll at all times.
	pollers = 2
	// standbyPollers is the number of VMs of a failure domain, including the pollers,
	// that poll without a delay once their configuration is stale. It also bounds
	// the sources within the failure domain.
	standbyPollers = 8
	// pollPeriod is the time between two polls of a VM that polls.
	pollPeriod = time.Second
	// StaleAfter is the age from which on a VM's configuration counts as stale.
	StaleAfter = 4 * time.Second
	// freshSourceAge is the age up to which a source's configuration counts as being
	// as fresh as a poller's.
	freshSourceAge = 2 * time.Second
	// failuresUntilIsolated is the number of consecutive source failures after which
	// a VM assumes that it is cut off from the other VMs.
	failuresUntilIsolated = 2
	// maxRemoteSources is the maximum number of sources in other failure domains.
	maxRemoteSources = 16
	// snapshotWriters is the number of VMs that write the snapshot of a generation.
	snapshotWriters = 2
)

// Freshness describes how fresh a VM's configuration is. It is immutable.
type Freshness struct {
	age      time.Duration
	failures int
}

// NewFreshness returns the freshness for the time since the VM's generation was known
// to be the newest and the number of consecutive source failures.
func NewFreshness(age time.Duration, failures int) Freshness {
	return Freshness{age: age, failures: failures}
}

// Stale reports whether the configuration is older than StaleAfter.
func (f Freshness) Stale() bool { return f.age > StaleAfter }

// IsFreshSource reports whether a source whose configuration has the given age is
// fresh enough to sync from. It rejects sources that are several hops away from a
// poller, which would deliver changes too late.
func IsFreshSource(age time.Duration) bool { return age <= freshSourceAge }

// Plan is one VM's role in the distribution of configurations. It is immutable.
type Plan struct {
	rank    int
	sources []brmember.Member
}

// NewPlan returns the plan of a VM among members. A VM that is not a member is
// ranked as if it were one.
func NewPlan(self, domain string, members []brmember.Member) Plan {
	byDomain := map[string][]brmember.Member{}
	for _, m := range members {
		if m.Name() != self && m.Usable() {
			byDomain[m.Domain()] = append(byDomain[m.Domain()], m)
		}
	}
	own := append(byDomain[domain], brmember.New(self, domain, ""))
	ranked := rankMembers(domain, own)
	rank := slices.IndexFunc(ranked, func(m brmember.Member) bool { return m.Name() == self })
	delete(byDomain, domain)
	return Plan{
		rank:    rank,
		sources: interleave(localSources(self, slices.Delete(ranked, rank, rank+1)), remoteSources(self, byDomain)),
	}
}

// IsPoller reports whether the VM polls even while its configuration is fresh.
func (p Plan) IsPoller() bool { return p.rank < pollers }

// Sources returns the VMs to sync from, best first. The caller must not modify the
// slice.
func (p Plan) Sources() []brmember.Member { return p.sources }

// ShouldPoll reports whether the VM polls the platform now. An isolated VM polls like a
// poller; the others wait in proportion to their rank, so that the polls of a
// failure domain grow with the logarithm of its size.
func (p Plan) ShouldPoll(freshness Freshness, sinceLast time.Duration) bool {
	if sinceLast < pollPeriod {
		return false
	}
	if p.IsPoller() || len(p.sources) == 0 {
		return true
	}
	if !freshness.Stale() {
		return false
	}
	if p.rank < standbyPollers || freshness.failures >= failuresUntilIsolated {
		return true
	}
	return sinceLast >= time.Duration(p.rank)*pollPeriod
}

// WritesSnapshot reports whether a VM is one of the snapshotWriters of a
// generation, chosen by rendezvous hash.
func WritesSnapshot(self string, generation uint64, members []brmember.Member) bool {
	own := weight(self, generation)
	above := 0
	for _, m := range members {
		if m.Name() != self && m.Usable() && weight(m.Name(), generation) > own {
			above++
		}
	}
	return above < snapshotWriters
}

// localSources returns the sources within the failure domain. The pollers come first,
// in an order that differs between VMs, so that the load is spread over them.
func localSources(self string, ranked []brmember.Member) []brmember.Member {
	sources := slices.Clone(ranked[:min(standbyPollers, len(ranked))])
	first := sources[:min(pollers, len(sources))]
	slices.SortFunc(first, func(a, b brmember.Member) int { return compareHash(self, a.Name(), b.Name()) })
	return sources
}

// remoteSources returns the first poller of each other failure domain, in an order
// that differs between VMs.
func remoteSources(self string, byDomain map[string][]brmember.Member) []brmember.Member {
	sources := []brmember.Member{}
	for domain, members := range byDomain {
		sources = append(sources, slices.MinFunc(members, func(a, b brmember.Member) int {
			return compareHash(domain, a.Name(), b.Name())
		}))
	}
	slices.SortFunc(sources, func(a, b brmember.Member) int { return compareHash(self, a.Name(), b.Name()) })
	return sources[:min(maxRemoteSources, len(sources))]
}

// interleave keeps the pollers first and then alternates between both lists, so
// that a failure domain that is cut off from the platform soon asks another one.
func interleave(local, remote []brmember.Member) []brmember.Member {
	head := min(pollers, len(local))
	sources := slices.Clone(local[:head])
	local = local[head:]
	for i := range max(len(local), len(remote)) {
		if i < len(remote) {
			sources = append(sources, remote[i])
		}
		if i < len(local) {
			sources = append(sources, local[i])
		}
	}
	return sources
}

func rankMembers(domain string, members []brmember.Member) []brmember.Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b brmember.Member) int { return compareHash(domain, a.Name(), b.Name()) })
	return sorted
}

func compareHash(salt, a, b string) int {
	if c := cmp.Compare(hash(salt, b), hash(salt, a)); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

func hash(salt, name string) uint64 {
	return xxhash.Sum64String(salt + "\x00" + name)
}

func weight(name string, generation uint64) uint64 {
	// Multiplying by an odd constant distributes consecutive generations over all
	// bits.
	const multiplier = 0x9e3779b97f4a7c15
	return xxhash.Sum64String(name) ^ (generation+1)*multiplier
}
