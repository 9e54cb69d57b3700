package brkey

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// Freshness tracks how fresh a VM's keys are. It is not safe for concurrent use.
//
// A confirmation is evidence that, at some time, no accepted change was newer than
// the VM's configuration. That time is taken on the VM's own clock before the
// query is sent, so that a slow answer or a paused process never makes the keys look
// fresher than they are.
type Freshness struct {
	confirmed time.Time
}

// Confirm records a time at which the keys were known to be current. A time earlier
// than one that is already recorded is ignored.
func (f *Freshness) Confirm(at time.Time) {
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

// Allows reports whether keys of an organisation may be accepted, that is, whether
// the last confirmation is no older than the organisation's maximum key age.
func (f *Freshness) Allows(organisation brconfig.Organisation, now time.Time) bool {
	if f.confirmed.IsZero() {
		return false
	}
	return now.Sub(f.confirmed) <= organisation.MaxKeyAge()
}
