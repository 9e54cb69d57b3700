package brallocation

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// PoolSlot is the name of the slot whose holder lends parts to the other VMs of
// the failure domain.
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

// NewSlot returns a vacant slot.
func NewSlot(name string, parts Parts) Slot {
	return Slot{name: name, parts: parts}
}

// WithHolder returns the slot as acquired or renewed by a process of a VM.
func (s Slot) WithHolder(holder, vm string, lease time.Duration) Slot {
	s.holder, s.vm, s.lease = holder, vm, lease
	return s
}

// Released returns the slot as released by its holder.
func (s Slot) Released() Slot {
	s.holder, s.vm, s.lease = "", "", 0
	return s
}

// WithSequence returns the slot with a sequence number read from a stored document.
func (s Slot) WithSequence(sequence uint64) Slot {
	s.sequence = sequence
	return s
}

// Name returns the name, which is unique within the row.
func (s Slot) Name() string { return s.name }

// Parts returns the parts.
func (s Slot) Parts() Parts { return s.parts }

// Holder returns the incarnation of the process that holds the slot, or "" if the
// slot is vacant.
func (s Slot) Holder() string { return s.holder }

// VM returns the name of the holder's VM, or "" if the slot is vacant.
func (s Slot) VM() string { return s.vm }

// Lease returns the length of the lease.
func (s Slot) Lease() time.Duration { return s.lease }

// Sequence returns the row's sequence number at the last write of the slot.
func (s Slot) Sequence() uint64 { return s.sequence }

// Row divides the parts of one failure domain into slots. It is immutable.
type Row struct {
	parts    Parts
	slots    []Slot
	sequence uint64
	waiting  bool
}

// NewRow returns a row. It returns an error if the slots sum to more than the
// parts, if a slot has negative parts, or if the parts exceed Whole.
func NewRow(parts Parts, slots ...Slot) (Row, error) {
	var sum Parts
	for _, s := range slots {
		if s.parts < 0 {
			return Row{}, errors.Errorf("slot %q has a negative number of parts: %d", s.name, s.parts)
		}
		sum += s.parts
	}
	if sum > parts || parts > Whole {
		return Row{}, errors.Errorf("invalid row: slots have %d parts in total, the failure domain has %d", sum, parts)
	}
	return Row{parts: parts, slots: slots}, nil
}

// Parts returns the parts of the failure domain.
func (r Row) Parts() Parts { return r.parts }

// Sequence returns the number of writes to slots of the row.
func (r Row) Sequence() uint64 { return r.sequence }

// WithSequence returns the row with another sequence number.
func (r Row) WithSequence(sequence uint64) Row {
	r.sequence = sequence
	return r
}

// Waiting reports whether a VM waits for a slot because it found none vacant.
func (r Row) Waiting() bool { return r.waiting }

// WithWaiting returns the row, setting whether a VM waits for a slot.
func (r Row) WithWaiting(waiting bool) Row {
	r.waiting = waiting
	return r
}

// Slots returns the slots. The caller must not modify the slice.
func (r Row) Slots() []Slot { return r.slots }

// Replace returns the row with a slot in place of the one with its name, and with
// the next sequence number in both the row and the slot.
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
