package brobservation

import (
	"math/bits"
	"slices"

	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

// tellings is how often a change is told for each doubling of the VMs.
const tellings = 3

// outbox holds changes that are still to be told, the least told ones first.
type outbox struct {
	entries []outgoing
}

type outgoing struct {
	change brmember.Change
	left   int // times that it is still told
	told   bool
}

// put replaces what was to be told of the same VM.
func (o *outbox) put(change brmember.Change, members int) {
	o.entries = slices.DeleteFunc(o.entries, func(e outgoing) bool { return e.change.Name() == change.Name() })
	o.entries = append(o.entries, outgoing{change: change, left: tellings * (bits.Len(uint(members)) + 1)})
}

// holds reports whether something is to be told of a VM.
func (o *outbox) holds(name string) bool {
	return slices.ContainsFunc(o.entries, func(e outgoing) bool { return e.change.Name() == name })
}

// urgent reports whether a change was told to nobody yet.
func (o *outbox) urgent() bool {
	return slices.ContainsFunc(o.entries, func(e outgoing) bool { return !e.told })
}

// take returns up to limit changes, those with most tellings left first.
func (o *outbox) take(limit int) []brmember.Change {
	slices.SortStableFunc(o.entries, func(a, b outgoing) int { return b.left - a.left })
	changes := make([]brmember.Change, 0, min(limit, len(o.entries))+1)
	for i := range min(limit, len(o.entries)) {
		changes = append(changes, o.entries[i].change)
		o.entries[i].left--
		o.entries[i].told = true
	}
	o.entries = slices.DeleteFunc(o.entries, func(e outgoing) bool { return e.left <= 0 })
	return changes
}
