package brdivision

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// PoolSlot is the name of the slot whose holder lends to the other VMs of the
// failure domain.
const PoolSlot = "pool"

// Slot is a number of parts that one VM holds under a lease.
type Slot struct {
	name     string
	parts    Parts
	holder   string
	vm       string
	lease    time.Duration
	sequence uint64
}

// NewSlot returns a slot that nobody holds.
func NewSlot(name string, parts Parts) Slot {
	return Slot{name: name, parts: parts}
}

// Held returns the slot as held, or renewed, by a process of a VM.
func (s Slot) Held(holder, vm string, lease time.Duration) Slot {
	s.holder, s.vm, s.lease = holder, vm, lease
	return s
}

// Vacated returns the slot as given back.
func (s Slot) Vacated() Slot {
	s.holder, s.vm, s.lease = "", "", 0
	return s
}

// WithSequence returns the slot with its sequence, as read from a document.
func (s Slot) WithSequence(sequence uint64) Slot {
	s.sequence = sequence
	return s
}

// Name returns the name, unique in the row.
func (s Slot) Name() string { return s.name }

// Parts returns the parts.
func (s Slot) Parts() Parts { return s.parts }

// Holder returns the incarnation of the process that holds the slot, or "".
func (s Slot) Holder() string { return s.holder }

// VM returns the name of the holder's VM.
func (s Slot) VM() string { return s.vm }

// Lease returns the length of the lease.
func (s Slot) Lease() time.Duration { return s.lease }

// Sequence returns the sequence of the row when the slot was last written.
func (s Slot) Sequence() uint64 { return s.sequence }

// Row divides the parts of one failure domain. It is immutable.
type Row struct {
	parts    Parts
	slots    []Slot
	sequence uint64
	waiting  bool
}

// NewRow returns a row. It returns an error where the slots sum to more than
// the parts, or have negative parts.
func NewRow(parts Parts, slots ...Slot) (Row, error) {
	var sum Parts
	for _, s := range slots {
		if s.parts < 0 {
			return Row{}, errors.Errorf("slot %q has %d parts", s.name, s.parts)
		}
		sum += s.parts
	}
	if sum > parts || parts > Whole {
		return Row{}, errors.Errorf("slots have %d parts of %d", sum, parts)
	}
	return Row{parts: parts, slots: slots}, nil
}

// Parts returns the parts of the failure domain.
func (r Row) Parts() Parts { return r.parts }

// Sequence returns how often slots of the row were written.
func (r Row) Sequence() uint64 { return r.sequence }

// WithSequence returns the row with its sequence.
func (r Row) WithSequence(sequence uint64) Row {
	r.sequence = sequence
	return r
}

// Waiting reports whether a VM has found no vacant floor.
func (r Row) Waiting() bool { return r.waiting }

// WithWaiting returns the row with a VM that waits for a floor, or none.
func (r Row) WithWaiting(waiting bool) Row {
	r.waiting = waiting
	return r
}

// Slots returns the slots. The caller must not change the slice.
func (r Row) Slots() []Slot { return r.slots }

// Replace returns the row with a slot, of the next sequence, in place of the
// one of its name.
func (r Row) Replace(slot Slot) Row {
	r.sequence++
	slot.sequence = r.sequence
	slots := slices.Clone(r.slots)
	for i, s := range slots {
		if s.name == slot.name {
			slots[i] = slot
		}
	}
	r.slots = slots
	return r
}
