package brliveness

import (
	"math/bits"
	"slices"

	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

// sendsPerDoubling is the number of times that a change is sent for each doubling of
// the number of VMs.
const sendsPerDoubling = 3

// outbox holds the changes that are still to be sent.
type outbox struct {
	entries []queuedChange
}

type queuedChange struct {
	change    brmember.Change
	sendsLeft int // times still to be sent
	sent      bool
}

// put adds a change and replaces an earlier one about the same VM. The number of times
// that the change is sent grows with the logarithm of the number of members.
func (o *outbox) put(change brmember.Change, members int) {
	o.entries = slices.DeleteFunc(o.entries, func(e queuedChange) bool { return e.change.Name() == change.Name() })
	o.entries = append(o.entries, queuedChange{change: change, sendsLeft: sendsPerDoubling * (bits.Len(uint(members)) + 1)})
}

// has reports whether a change about a VM is still to be sent.
func (o *outbox) has(name string) bool {
	return slices.ContainsFunc(o.entries, func(e queuedChange) bool { return e.change.Name() == name })
}

// hasUnsent reports whether a change has not been sent at all yet.
func (o *outbox) hasUnsent() bool {
	return slices.ContainsFunc(o.entries, func(e queuedChange) bool { return !e.sent })
}

// take returns up to limit changes, those that are to be sent most often first.
func (o *outbox) take(limit int) []brmember.Change {
	slices.SortStableFunc(o.entries, func(a, b queuedChange) int { return b.sendsLeft - a.sendsLeft })
	changes := make([]brmember.Change, 0, min(limit, len(o.entries))+1)
	for i := range min(limit, len(o.entries)) {
		changes = append(changes, o.entries[i].change)
		o.entries[i].sendsLeft--
		o.entries[i].sent = true
	}
	o.entries = slices.DeleteFunc(o.entries, func(e queuedChange) bool { return e.sendsLeft <= 0 })
	return changes
}
