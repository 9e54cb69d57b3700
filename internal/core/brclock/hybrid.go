package brclock

import (
	"cmp"
	"sync"
	"time"
)

// Timestamp is a timestamp of a hybrid logical clock. It consists of the wall time and
// a counter for events of the same wall time. If one event causally precedes
// another, so does its timestamp.
type Timestamp struct {
	wall    time.Time
	logical uint32
}

// NewTimestamp returns the timestamp with the given parts, as decoded from a message.
func NewTimestamp(wall time.Time, logical uint32) Timestamp {
	return Timestamp{wall: wall, logical: logical}
}

// Wall returns the wall time.
func (t Timestamp) Wall() time.Time { return t.wall }

// Logical returns the counter, which orders timestamps of the same wall time.
func (t Timestamp) Logical() uint32 { return t.logical }

// Compare returns -1 if t is before other, 0 if they are equal and 1 if t is after
// other.
func (t Timestamp) Compare(other Timestamp) int {
	if c := t.wall.Compare(other.wall); c != 0 {
		return c
	}
	return cmp.Compare(t.logical, other.logical)
}

// maxHybridLead limits how far a peer's timestamp may set a hybrid clock ahead of
// the local clock. It keeps a peer whose clock is wrong from affecting all VMs.
const maxHybridLead = time.Minute

// Hybrid is a hybrid logical clock. It is safe for concurrent use.
type Hybrid struct {
	mutex sync.Mutex
	clock Clock
	last  Timestamp
}

// NewHybrid returns a hybrid logical clock that takes wall time from the given
// clock.
func NewHybrid(clock Clock) *Hybrid {
	return &Hybrid{clock: clock}
}

// Next returns a timestamp that is later than all timestamps returned or observed
// so far.
func (h *Hybrid) Next() Timestamp {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.clock.Now().Round(0)
	if now.After(h.last.wall) {
		h.last = Timestamp{wall: now}
	} else {
		h.last.logical++
	}
	return h.last
}

// Observe merges a timestamp received from a peer, so that later timestamps of this
// clock exceed it. A timestamp more than maxHybridLead ahead of the local clock is
// ignored.
func (h *Hybrid) Observe(timestamp Timestamp) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if timestamp.wall.Sub(h.clock.Now()) > maxHybridLead {
		return
	}
	if timestamp.Compare(h.last) > 0 {
		h.last = timestamp
	}
}
