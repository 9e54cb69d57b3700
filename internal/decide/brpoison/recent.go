package brpoison

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// recentSet is a set of fingerprints with the time at which each was last added. At
// capacity, a new fingerprint replaces the one that has been in the set longest.
type recentSet struct {
	order   []brrequest.Fingerprint // ring buffer in the order of addition
	next    int                     // index of the oldest fingerprint in a full ring buffer
	addedAt map[brrequest.Fingerprint]time.Time
}

func newRecentSet(capacity int) *recentSet {
	return &recentSet{order: make([]brrequest.Fingerprint, 0, capacity), addedAt: map[brrequest.Fingerprint]time.Time{}}
}

// addedSince reports whether a fingerprint was added at or after the earliest time.
func (r *recentSet) addedSince(fingerprint brrequest.Fingerprint, earliest time.Time) bool {
	at, ok := r.addedAt[fingerprint]
	return ok && !at.Before(earliest)
}

func (r *recentSet) add(now time.Time, fingerprint brrequest.Fingerprint) {
	_, ok := r.addedAt[fingerprint]
	r.addedAt[fingerprint] = now
	if ok {
		return
	}
	if len(r.order) < cap(r.order) {
		r.order = append(r.order, fingerprint)
		return
	}
	delete(r.addedAt, r.order[r.next])
	r.order[r.next] = fingerprint
	r.next = (r.next + 1) % len(r.order)
}
