package brplacement

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/decide/braffinity"
)

// recordFirst records the first server of the request's object. Requests without an object
// have no cache to lose, and a retry excludes the servers that it tried.
func (p *Placer) recordFirst(now time.Time, query Query, pool *braffinity.Pool[*server], first *server) {
	if query.object == "" || len(query.excluded) > 0 {
		return
	}
	key := p.selector.Key(query.object, pool)
	p.firsts.Record(now, key, first.registration.ID(), func(former string, since time.Time) braffinity.Cause {
		return p.moveCause(now, query, former, first, since)
	})
}

// moveCause returns why the first server of an object is another one than at the given time.
func (p *Placer) moveCause(now time.Time, query Query, former string, first *server, since time.Time) braffinity.Cause {
	old, registered := p.servers[former]
	if !registered || old.registration.Draining() || p.backoff.IsLeaving(old.registration) {
		return braffinity.CauseRemoved
	}
	switch p.state(now, old, query) {
	case braffinity.Evacuated:
		return braffinity.CauseEvacuated
	case braffinity.Unavailable:
		return braffinity.CauseUnavailable
	default:
	}
	switch returned, ok := p.returns.since[first.registration.Domain()]; {
	case ok && returned.After(since):
		return braffinity.CauseEvacuated
	case first.listedAt.After(since):
		return braffinity.CauseAdded
	case first.registration.Region() != old.registration.Region():
		return braffinity.CauseRegion
	default:
		return braffinity.CauseOther
	}
}

// TakeMoves returns how many objects changed their first server since the previous call.
func (p *Placer) TakeMoves() braffinity.Moves { return p.firsts.TakeMoves() }
