package brplacement

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brset"
)

// returns tracks which failure domains came back from an evacuation, and when. Their servers
// may have become cold meanwhile, and their reports of it may come later than the end of
// the evacuation, so they are treated as cold for the time that they take to warm up.
type returns struct {
	evacuated brset.Set[string]
	since     map[string]time.Time // of the end of the latest evacuation, by failure domain
}

func newReturns() returns {
	return returns{evacuated: brset.New[string](), since: map[string]time.Time{}}
}

// observe records whether a failure domain is being evacuated. It returns the end of its
// latest evacuation, if there was one.
func (r returns) observe(now time.Time, domain string, evacuated bool) (time.Time, bool) {
	if evacuated {
		r.evacuated.Add(domain)
	} else if r.evacuated.Has(domain) {
		r.evacuated.Remove(domain)
		r.since[domain] = now
	}
	since, ok := r.since[domain]
	return since, ok && !evacuated
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
