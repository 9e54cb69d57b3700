package brobservation

import (
	"math/bits"
	"slices"

	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

// tellings is how often a change is sent for each doubling of the number of VMs.
const tellings = 3

// outbox holds the changes that are still to be sent.
type outbox struct {
	entries []outgoing
}

type outgoing struct {
	change brmember.Change
	left   int // times still to be sent
	told   bool
}

// put adds a change and replaces an earlier one about the same VM.
func (o *outbox) put(change brmember.Change, members int) {
	o.entries = slices.DeleteFunc(o.entries, func(e outgoing) bool { return e.change.Name() == change.Name() })
	o.entries = append(o.entries, outgoing{change: change, left: tellings * (bits.Len(uint(members)) + 1)})
}

// holds reports whether a change about a VM is still to be sent.
func (o *outbox) holds(name string) bool {
	return slices.ContainsFunc(o.entries, func(e outgoing) bool { return e.change.Name() == name })
}

// urgent reports whether a change has not been sent at all yet.
func (o *outbox) urgent() bool {
	return slices.ContainsFunc(o.entries, func(e outgoing) bool { return !e.told })
}

// take returns up to limit changes, those that were sent least often first.
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
