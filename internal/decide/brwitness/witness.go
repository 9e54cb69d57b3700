package brwitness

import "time"

const (
	// CommitTimeout is the maximum time from an announcement to the end of the call
	// that writes the head.
	CommitTimeout = 3 * time.Second
	// SettleTime is the time after an announcement by which its write has either
	// taken effect or never will.
	SettleTime = 10 * time.Second
	// maxPending is the maximum number of pending announcements.
	maxPending = 1024
)

// Witness tracks announced writes. It is not safe for concurrent use.
type Witness struct {
	started time.Time
	ready   bool // has read the table at least SettleTime after its start
	pending map[string]time.Time
}

// NewWitness returns a witness that has just started.
func NewWitness(now time.Time) *Witness {
	return &Witness{started: now, pending: map[string]time.Time{}}
}

// Begin records the announcement of a write under its operation's identifier. It
// returns false if too many announcements are pending; the write must not be made
// then.
func (w *Witness) Begin(operation string, now time.Time) bool {
	if _, known := w.pending[operation]; !known && len(w.pending) >= maxPending {
		return false
	}
	w.pending[operation] = now
	return true
}

// End removes an announced write whose outcome is known.
func (w *Witness) End(operation string) {
	delete(w.pending, operation)
}

// RecordTableRead records that the witness has read the table as of a time. It removes
// announcements that are at least SettleTime older than that.
func (w *Witness) RecordTableRead(at time.Time) {
	if at.Sub(w.started) >= SettleTime {
		w.ready = true
	}
	for operation, announcedAt := range w.pending {
		if at.Sub(announcedAt) >= SettleTime {
			delete(w.pending, operation)
		}
	}
}

// CanAttest reports whether the witness can attest that no write newer than its own
// head was announced to it.
func (w *Witness) CanAttest() bool {
	return w.ready && len(w.pending) == 0
}
