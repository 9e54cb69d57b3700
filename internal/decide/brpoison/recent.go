package brpoison

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// recent is a set of the last added fingerprints, up to its capacity, with the
// time at which each was last added.
type recent struct {
	order []brrequest.Fingerprint
	next  int
	known map[brrequest.Fingerprint]time.Time
}

func newRecent(capacity int) *recent {
	return &recent{order: make([]brrequest.Fingerprint, 0, capacity), known: map[brrequest.Fingerprint]time.Time{}}
}

// since reports whether a fingerprint was added at or after the earliest time.
func (r *recent) since(fingerprint brrequest.Fingerprint, earliest time.Time) bool {
	at, ok := r.known[fingerprint]
	return ok && !at.Before(earliest)
}

func (r *recent) add(now time.Time, fingerprint brrequest.Fingerprint) {
	_, ok := r.known[fingerprint]
	r.known[fingerprint] = now
	if ok {
		return
	}
	if len(r.order) < cap(r.order) {
		r.order = append(r.order, fingerprint)
		return
	}
	delete(r.known, r.order[r.next])
	r.order[r.next] = fingerprint
	r.next = (r.next + 1) % len(r.order)
}
