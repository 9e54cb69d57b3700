package brconfig

import "time"

// Drain moves traffic away from a backend server, VM, failure domain or region.
type Drain struct {
	Meta
	target   Reference
	start    time.Time
	deadline time.Time
}

// NewDrain returns a drain of the target that starts at one time and completes by the other.
func NewDrain(meta Meta, target Reference, start, deadline time.Time) Drain {
	return Drain{Meta: meta, target: target, start: start, deadline: deadline}
}

// Kind returns KindDrain.
func (Drain) Kind() Kind { return KindDrain }

// References returns a reference to the target.
func (d Drain) References() []Reference { return []Reference{d.target} }

// UniqueValues returns the target, which may have only one drain.
func (d Drain) UniqueValues() []UniqueValue {
	return []UniqueValue{NewUniqueValue("drain of", d.target.String())}
}

// Target returns the resource that is drained.
func (d Drain) Target() Reference { return d.target }

// Start returns the start time of the drain.
func (d Drain) Start() time.Time { return d.start }

// Deadline returns the time by which the target no longer receives traffic.
func (d Drain) Deadline() time.Time { return d.deadline }
