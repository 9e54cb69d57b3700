package brwitness

import "time"

const (
	// CommitTime bounds the time from an announcement to the end of the call
	// that moves the head.
	CommitTime = 3 * time.Second
	// LandingTime bounds the time from an announcement until its write has
	// taken effect or never will.
	LandingTime = 10 * time.Second
	// maxOpen bounds the announcements that are open at a time.
	maxOpen = 1024
)

// Witness remembers announced writes. It has one owner.
type Witness struct {
	started time.Time
	settled bool // has read the table LandingTime after its start
	open    map[string]time.Time
}

// NewWitness returns a witness that has just started.
func NewWitness(now time.Time) *Witness {
	return &Witness{started: now, open: map[string]time.Time{}}
}

// Begin takes the announcement of a write by its operation's identifier. It is
// false where too many are open; the write must then not be made.
func (w *Witness) Begin(operation string, now time.Time) bool {
	if _, known := w.open[operation]; !known && len(w.open) >= maxOpen {
		return false
	}
	w.open[operation] = now
	return true
}

// End takes the end of an announced write whose outcome is known.
func (w *Witness) End(operation string) {
	delete(w.open, operation)
}

// TableRead tells that the witness holds what the table held at a time.
func (w *Witness) TableRead(at time.Time) {
	if at.Sub(w.started) >= LandingTime {
		w.settled = true
	}
	for operation, begun := range w.open {
		if at.Sub(begun) >= LandingTime {
			delete(w.open, operation)
		}
	}
}

// Quiet reports whether the witness can attest that nothing newer than what it
// holds was announced to it.
func (w *Witness) Quiet() bool {
	return w.settled && len(w.open) == 0
}
