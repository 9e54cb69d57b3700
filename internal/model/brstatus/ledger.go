package brstatus

import (
	"maps"

	"bergamotroad.example/bergamotroad/internal/model/brrecord"
)

// Reporter identifies one run of a VM's process. A VM that restarts is another reporter.
type Reporter uint64

// Ledger holds the tallies of rollouts by the revision of the rollout's order and by the VM
// that counted them. Since each reporter's counts only grow, ledgers can be merged in any
// order and repeatedly: nothing counts twice, and the counts of a VM that has stopped stay as
// long as any other VM knows them. It must not be modified once it is part of a status.
type Ledger map[brrecord.Revision]map[Reporter]Tally

// Tally returns the sum of the tallies of a rollout.
func (l Ledger) Tally(revision brrecord.Revision) Tally {
	sum := Tally{}
	for _, tally := range l[revision] {
		sum = sum.Add(tally)
	}
	return sum
}

// Merge returns a ledger with the tallies of both. Neither is modified.
func (l Ledger) Merge(o Ledger) Ledger {
	if len(o) == 0 {
		return l
	}
	merged := maps.Clone(l)
	if merged == nil {
		merged = Ledger{}
	}
	for revision, tallies := range o {
		merged[revision] = mergeTallies(merged[revision], tallies)
	}
	return merged
}

func mergeTallies(a, b map[Reporter]Tally) map[Reporter]Tally {
	merged := maps.Clone(a)
	if merged == nil {
		merged = make(map[Reporter]Tally, len(b))
	}
	for reporter, tally := range b {
		merged[reporter] = merged[reporter].latest(tally)
	}
	return merged
}

// Without returns the tallies with other counts than in another ledger.
func (l Ledger) Without(o Ledger) Ledger {
	rest := Ledger{}
	for revision, tallies := range l {
		known := o[revision]
		for reporter, tally := range tallies {
			if known[reporter].WithAge(0) == tally.WithAge(0) {
				continue
			}
			if rest[revision] == nil {
				rest[revision] = map[Reporter]Tally{}
			}
			rest[revision][reporter] = tally
		}
	}
	return rest
}

// Filter returns the tallies of the rollouts for which keep returns true.
func (l Ledger) Filter(keep func(revision brrecord.Revision) bool) Ledger {
	kept := maps.Clone(l)
	maps.DeleteFunc(kept, func(revision brrecord.Revision, _ map[Reporter]Tally) bool { return !keep(revision) })
	return kept
}
