package brplacement

import (
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/decide/braffinity"
)

// pool returns the servers that may run a request, regardless of load. Servers that want no
// requests or fail for a short time belong to it, since their objects come back.
func (p *Placer) pool(now time.Time, s *service, query Query, allowed func(string) bool) *braffinity.Pool[*server] {
	rollout, hasRollout := p.view.Rollout(query.service)
	pool := p.selector.Pool(braffinity.NewGroup(query.service, hasRollout && allowed(rollout.Target())))
	for _, srv := range s.servers {
		if p.isMember(srv, query, allowed) {
			pool.Add(srv, p.state(now, srv, query))
		}
	}
	return pool
}

// isMember reports whether a server may run a request, now or once it is available again.
func (p *Placer) isMember(srv *server, query Query, allowed func(string) bool) bool {
	registration := &srv.registration
	return !registration.Draining() && !srv.leaving &&
		query.allowsRegion(registration.Region()) && allowed(registration.Version())
}

// state reports whether a server that may run a request may do so now.
func (p *Placer) state(now time.Time, srv *server, query Query) braffinity.State {
	if srv.evacuated {
		return braffinity.Evacuated
	}
	if p.isQuiet(now, srv) || srv.ejected(now) || slices.Contains(query.excluded, srv.registration.ID()) {
		return braffinity.Unavailable
	}
	return braffinity.Usable
}

// hashFraction hashes a text to a number in [0, 1).
func hashFraction(salt, text string) float64 { return braffinity.Fraction(salt, text) }
