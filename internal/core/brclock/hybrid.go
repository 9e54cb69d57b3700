package brclock

import (
	"cmp"
	"sync"
	"time"
)

// Stamp is a reading of a hybrid logical clock: wall time and, for events of
// the same wall time, a counter. Stamps of causally related events are ordered.
type Stamp struct {
	wall    time.Time
	logical uint32
}

// NewStamp returns a stamp from its parts, as read from a message.
func NewStamp(wall time.Time, logical uint32) Stamp {
	return Stamp{wall: wall, logical: logical}
}

// Wall returns the wall time.
func (s Stamp) Wall() time.Time { return s.wall }

// Logical returns the counter among stamps of the same wall time.
func (s Stamp) Logical() uint32 { return s.logical }

// Compare returns -1, 0 or 1 as s is before, equal to or after other.
func (s Stamp) Compare(other Stamp) int {
	if c := s.wall.Compare(other.wall); c != 0 {
		return c
	}
	return cmp.Compare(s.logical, other.logical)
}

// maxHybridLead bounds how far a peer's stamp may move a hybrid clock ahead of
// the machine's own clock.
const maxHybridLead = time.Minute

// Hybrid is a hybrid logical clock. It is safe for use by several goroutines.
type Hybrid struct {
	mutex sync.Mutex
	clock Clock
	last  Stamp
}

// NewHybrid returns a hybrid clock over the given clock.
func NewHybrid(clock Clock) *Hybrid {
	return &Hybrid{clock: clock}
}

// Next returns a stamp after every stamp returned or observed so far.
func (h *Hybrid) Next() Stamp {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.clock.Now().Round(0)
	if now.After(h.last.wall) {
		h.last = Stamp{wall: now}
	} else {
		h.last.logical++
	}
	return h.last
}

// Observe moves the clock past a stamp that a peer sent. A stamp that leads
// the machine's clock by more than a minute is ignored.
func (h *Hybrid) Observe(stamp Stamp) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if stamp.wall.Sub(h.clock.Now()) > maxHybridLead {
		return
	}
	if stamp.Compare(h.last) > 0 {
		h.last = stamp
	}
}
