package brstatus

import "time"

// Tally counts how requests to a service ended during a rollout, for the target version and
// for the others. It is immutable.
type Tally struct {
	target counts
	old    counts
	age    time.Duration
}

// counts are the requests that ended in each way.
type counts struct {
	good    uint64
	bad     uint64
	overdue uint64
}

// NewTally returns the response counts of the target version and of the others.
func NewTally(targetGood, targetBad, oldGood, oldBad uint64) Tally {
	return Tally{target: counts{good: targetGood, bad: targetBad}, old: counts{good: oldGood, bad: oldBad}}
}

// WithOverdue returns the tally with the requests that ended without a response although
// the server had them for longer than a response should take.
func (t Tally) WithOverdue(target, old uint64) Tally {
	t.target.overdue, t.old.overdue = target, old
	return t
}

// WithAge returns the tally with the time for which the rollout has been known to run.
func (t Tally) WithAge(age time.Duration) Tally {
	t.age = age
	return t
}

// Age returns the time for which the rollout has been known to run. In a sum it is
// that of the VM that has known of the rollout for longest.
func (t Tally) Age() time.Duration { return t.age }

// TargetGood returns the number of successful responses of the target version.
func (t Tally) TargetGood() uint64 { return t.target.good }

// TargetBad returns the number of failed responses of the target version.
func (t Tally) TargetBad() uint64 { return t.target.bad }

// TargetOverdue returns the number of requests that the target version did not answer in time.
func (t Tally) TargetOverdue() uint64 { return t.target.overdue }

// Target returns the number of requests to the target version.
func (t Tally) Target() uint64 { return t.target.sum() }

// OldGood returns the number of successful responses of the other versions.
func (t Tally) OldGood() uint64 { return t.old.good }

// OldBad returns the number of failed responses of the other versions.
func (t Tally) OldBad() uint64 { return t.old.bad }

// OldOverdue returns the number of requests that the other versions did not answer in time.
func (t Tally) OldOverdue() uint64 { return t.old.overdue }

// Old returns the number of requests to the other versions.
func (t Tally) Old() uint64 { return t.old.sum() }

// Add returns the sum of two tallies.
func (t Tally) Add(o Tally) Tally {
	return Tally{target: t.target.add(o.target), old: t.old.add(o.old), age: max(t.age, o.age)}
}

// Sub returns the responses counted since an earlier tally.
func (t Tally) Sub(earlier Tally) Tally {
	return Tally{target: t.target.sub(earlier.target), old: t.old.sub(earlier.old), age: t.age}
}

// latest returns the later of two tallies of the same reporter, whose counts only grow.
func (t Tally) latest(o Tally) Tally {
	return Tally{target: t.target.max(o.target), old: t.old.max(o.old), age: max(t.age, o.age)}
}

func (c counts) max(o counts) counts {
	return counts{good: max(c.good, o.good), bad: max(c.bad, o.bad), overdue: max(c.overdue, o.overdue)}
}

func (c counts) sum() uint64 { return c.good + c.bad + c.overdue }

func (c counts) add(o counts) counts {
	return counts{good: c.good + o.good, bad: c.bad + o.bad, overdue: c.overdue + o.overdue}
}

func (c counts) sub(earlier counts) counts {
	return counts{
		good:    saturatingSub(c.good, earlier.good),
		bad:     saturatingSub(c.bad, earlier.bad),
		overdue: saturatingSub(c.overdue, earlier.overdue),
	}
}

// saturatingSub subtracts counts and returns 0 instead of a negative result: a later sum may
// be the smaller one if no VM that is alive knows the counts of one that has stopped.
func saturatingSub(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}
