package brpoison

import "bergamotroad.example/bergamotroad/internal/model/brrequest"

// recent holds the last few fingerprints that were added.
type recent struct {
	order []brrequest.Fingerprint
	next  int
	known map[brrequest.Fingerprint]struct{}
}

func newRecent(capacity int) *recent {
	return &recent{order: make([]brrequest.Fingerprint, 0, capacity), known: map[brrequest.Fingerprint]struct{}{}}
}

func (r *recent) has(fingerprint brrequest.Fingerprint) bool {
	_, ok := r.known[fingerprint]
	return ok
}

func (r *recent) add(fingerprint brrequest.Fingerprint) {
	if r.has(fingerprint) {
		return
	}
	r.known[fingerprint] = struct{}{}
	if len(r.order) < cap(r.order) {
		r.order = append(r.order, fingerprint)
		return
	}
	delete(r.known, r.order[r.next])
	r.order[r.next] = fingerprint
	r.next = (r.next + 1) % len(r.order)
}
