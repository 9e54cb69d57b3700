package brsettings

import "time"

const (
	defaultDrainLookups  = 12 * time.Second
	defaultDrainRequests = 2 * time.Minute
	maxDrain             = time.Hour
)

// Drain says how long the parts of a planned stop may take.
type Drain struct {
	lookups  time.Duration
	requests time.Duration
}

// Lookups returns how long a leaving VM serves on, for callers that hold an
// older answer to a look-up.
func (d Drain) Lookups() time.Duration { return d.lookups }

// Requests returns the longest time that requests in flight get to finish.
func (d Drain) Requests() time.Duration { return d.requests }

func drainOf(s *section) Drain {
	defer s.finish()
	return Drain{
		lookups:  s.duration("lookups", defaultDrainLookups, 0, maxDrain),
		requests: s.duration("requests", defaultDrainRequests, 0, maxDrain),
	}
}
