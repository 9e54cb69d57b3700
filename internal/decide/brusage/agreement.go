package brusage

import (
	"maps"
	"slices"
	"time"
)

const (
	// sampleLifetime is how long the time that another VM told is used.
	sampleLifetime = 10 * time.Second
	// minSamples is the number of clocks, with this VM's own, of which the median is trusted.
	minSamples = 3
	// clockTolerance is the difference between clocks that is ignored: messages take about a
	// tenth of a second.
	clockTolerance = 300 * time.Millisecond
)

// Agreement finds out by how much this VM's time of day is wrong, for a VM that was started
// while its clock was off: a Corrector only notices steps. VMs tell their own time with their
// reports; one that gets at least two others takes the median, and tells it to VMs that have
// fewer. It is not safe for concurrent use.
type Agreement struct {
	samples map[string]sample // by run
	offset  time.Duration     // to be added to this VM's time
}

// sample is how far another VM's clock is ahead of this VM's own.
type sample struct {
	ahead time.Duration
	at    time.Duration // on the steady clock
}

// NewAgreement returns an agreement with this VM's own time.
func NewAgreement() *Agreement { return &Agreement{samples: map[string]sample{}} }

// Observe records the time that another run told by its own clock.
func (a *Agreement) Observe(own Instant, run string, told time.Time) {
	a.samples[run] = sample{ahead: told.Sub(own.wall), at: own.steady}
	maps.DeleteFunc(a.samples, func(_ string, s sample) bool { return own.steady-s.at > sampleLifetime })
	if a.Known() {
		a.setOffset(a.median())
	}
}

// ObserveFleet records the time that another VM knows to be the fleet's. It counts if this VM
// does not know better.
func (a *Agreement) ObserveFleet(own Instant, told time.Time) {
	if !a.Known() {
		a.setOffset(told.Sub(own.wall))
	}
}

// Known reports whether this VM has enough samples to know the fleet's time.
func (a *Agreement) Known() bool { return len(a.samples)+1 >= minSamples }

// Offset returns the time to be added to this VM's own time of day.
func (a *Agreement) Offset() time.Duration { return a.offset }

// setOffset sets the offset unless it differs from the present one by less than the tolerance.
func (a *Agreement) setOffset(offset time.Duration) {
	if offset.Abs() < clockTolerance {
		offset = 0
	}
	if (offset - a.offset).Abs() >= clockTolerance {
		a.offset = offset
	}
}

// median returns the median of all clocks relative to this VM's own; of two in the middle, the
// one that is closer to it.
func (a *Agreement) median() time.Duration {
	list := []time.Duration{0}
	for _, s := range a.samples {
		list = append(list, s.ahead)
	}
	slices.Sort(list)
	low, high := list[(len(list)-1)/2], list[len(list)/2]
	if low.Abs() <= high.Abs() {
		return low
	}
	return high
}
