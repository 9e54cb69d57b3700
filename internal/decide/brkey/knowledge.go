package brkey

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// Knowledge says how fresh a VM's knowledge of keys is. It has one owner.
//
// A confirmation is evidence that, at some moment, no accepted change was
// newer than what the VM holds. The moment counts from before the question was
// asked, on the VM's own clock, so that a slow answer or a paused process
// never makes knowledge look fresher than it is.
type Knowledge struct {
	confirmed time.Time
}

// Confirm takes a moment at which the knowledge was known to be current. An
// earlier moment than the one known changes nothing.
func (k *Knowledge) Confirm(at time.Time) {
	if at.After(k.confirmed) {
		k.confirmed = at
	}
}

// Honours reports whether keys of an organisation may be honoured: whether the
// knowledge is no older than the organisation's bound.
func (k *Knowledge) Honours(organisation brconfig.Organisation, now time.Time) bool {
	if k.confirmed.IsZero() {
		return false
	}
	return now.Sub(k.confirmed) <= organisation.KeyAge()
}
