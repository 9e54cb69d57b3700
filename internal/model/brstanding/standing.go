// Package brstanding provides what VMs tell each other of the fleet beside the
// records of the store: who lives, how much each organisation asks, how the
// versions that rollouts bring in fare, and which requests kill servers. All of
// it is immutable.
//
// # Usage
//
//	standing := brstanding.New(members, demands, tallies)
//	share := own / standing.Demand("cold-chain-ltd")
package brstanding

import (
	"maps"
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Tally counts the answers of a service during a rollout. It is immutable.
type Tally struct {
	targetGood, targetBad uint64
	oldGood, oldBad       uint64
	age                   time.Duration
}

// NewTally returns the answers of the target version and of the others.
func NewTally(targetGood, targetBad, oldGood, oldBad uint64) Tally {
	return Tally{targetGood: targetGood, targetBad: targetBad, oldGood: oldGood, oldBad: oldBad}
}

// WithAge returns the tally with the time for which the rollout is known to run.
func (t Tally) WithAge(age time.Duration) Tally {
	t.age = age
	return t
}

// Age returns the time for which the rollout is known to run, by whoever has
// known of it longest.
func (t Tally) Age() time.Duration { return t.age }

// TargetGood returns the good answers of the target version.
func (t Tally) TargetGood() uint64 { return t.targetGood }

// TargetBad returns the bad answers of the target version.
func (t Tally) TargetBad() uint64 { return t.targetBad }

// OldGood returns the good answers of the other versions.
func (t Tally) OldGood() uint64 { return t.oldGood }

// OldBad returns the bad answers of the other versions.
func (t Tally) OldBad() uint64 { return t.oldBad }

// Plus returns the sum of two tallies.
func (t Tally) Plus(o Tally) Tally {
	return Tally{
		targetGood: t.targetGood + o.targetGood,
		targetBad:  t.targetBad + o.targetBad,
		oldGood:    t.oldGood + o.oldGood,
		oldBad:     t.oldBad + o.oldBad,
		age:        max(t.age, o.age),
	}
}

// Minus returns the answers since an earlier tally.
func (t Tally) Minus(earlier Tally) Tally {
	return Tally{
		targetGood: less(t.targetGood, earlier.targetGood),
		targetBad:  less(t.targetBad, earlier.targetBad),
		oldGood:    less(t.oldGood, earlier.oldGood),
		oldBad:     less(t.oldBad, earlier.oldBad),
		age:        t.age,
	}
}

// less subtracts counts, of which a VM that starts anew takes some away.
func less(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}

// Standing is what a VM, a region or the whole fleet stands at.
type Standing struct {
	members []string           // ordered
	demands map[string]float64 // requests a second, by organisation
	tallies map[uint64]Tally   // by revision of the rollout's order
	poison  []brrequest.PoisonNotice
	left    map[string]time.Duration // since VMs said that they stop
}

// New returns a standing: the VMs that live and serve, what they are asked, and
// the tallies by the revision of the rollout's order. The arguments must not be
// changed afterwards.
func New(members []string, demands map[string]float64, tallies map[uint64]Tally) Standing {
	return Standing{members: slices.Sorted(slices.Values(members)), demands: demands, tallies: tallies}
}

// WithPoison returns the standing with what is told of requests that kill
// servers. The slice must not be changed afterwards.
func (s Standing) WithPoison(notices []brrequest.PoisonNotice) Standing {
	s.poison = notices
	return s
}

// Poison returns what is told of requests that kill servers, each notice once.
// The slice must not be changed.
func (s Standing) Poison() []brrequest.PoisonNotice { return s.poison }

// WithLeft returns the standing with the VMs that have said that they stop, and
// how long ago. The map must not be changed afterwards.
func (s Standing) WithLeft(left map[string]time.Duration) Standing {
	s.left = left
	return s
}

// Left reports whether a VM has said that it stops. It may have started again since.
func (s Standing) Left(vm string) bool {
	_, ok := s.left[vm]
	return ok
}

// Leavers returns the VMs that have said that they stop, and how long ago. The map
// must not be changed.
func (s Standing) Leavers() map[string]time.Duration { return s.left }

// Members returns the VMs that live and serve, in order. The slice must not be changed.
func (s Standing) Members() []string { return s.members }

// Lives reports whether a VM is among the members.
func (s Standing) Lives(vm string) bool {
	_, found := slices.BinarySearch(s.members, vm)
	return found
}

// Demand returns what callers of an organisation ask, in requests a second.
func (s Standing) Demand(organisation string) float64 { return s.demands[organisation] }

// Demands returns all demands by organisation. The map must not be changed.
func (s Standing) Demands() map[string]float64 { return s.demands }

// Tally returns the answers during the rollout with a revision.
func (s Standing) Tally(revision uint64) Tally { return s.tallies[revision] }

// Tallies returns all tallies. The map must not be changed.
func (s Standing) Tallies() map[uint64]Tally { return s.tallies }

// Plus returns the sum of two standings.
func (s Standing) Plus(o Standing) Standing {
	demands := maps.Clone(s.demands)
	if demands == nil {
		demands = map[string]float64{}
	}
	for name, demand := range o.demands {
		demands[name] += demand
	}
	tallies := maps.Clone(s.tallies)
	if tallies == nil {
		tallies = map[uint64]Tally{}
	}
	for revision, tally := range o.tallies {
		tallies[revision] = tallies[revision].Plus(tally)
	}
	return New(slices.Compact(slices.Sorted(slices.Values(slices.Concat(s.members, o.members)))), demands, tallies).
		WithPoison(union(s.poison, o.poison)).
		WithLeft(latest(s.left, o.left))
}

// latest returns the VMs of two maps with the time since each last said that it stops.
func latest(a, b map[string]time.Duration) map[string]time.Duration {
	if len(b) == 0 {
		return a
	}
	left := maps.Clone(b)
	for vm, age := range a {
		if known, ok := left[vm]; !ok || age < known {
			left[vm] = age
		}
	}
	return left
}

// union returns the notices of two lists, each once. There are few.
func union(a, b []brrequest.PoisonNotice) []brrequest.PoisonNotice {
	list := slices.Clone(a)
	for _, notice := range b {
		if !slices.Contains(a, notice) {
			list = append(list, notice)
		}
	}
	return list
}
