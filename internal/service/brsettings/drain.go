package brsettings

import "time"

const (
	defaultDrainLookups  = 12 * time.Second
	defaultDrainRequests = 2 * time.Minute
	maxDrain             = time.Hour
)

// Drain holds the durations of the phases of a graceful shutdown.
type Drain struct {
	lookups  time.Duration
	requests time.Duration
}

// Lookups returns how long a VM that is shutting down keeps serving, for callers that
// still use an earlier look-up result.
func (d Drain) Lookups() time.Duration { return d.lookups }

// Requests returns the maximum time for requests in flight to finish.
func (d Drain) Requests() time.Duration { return d.requests }

func parseDrain(s *section) Drain {
	defer s.finish()
	return Drain{
		lookups:  s.duration("lookups", defaultDrainLookups, 0, maxDrain),
		requests: s.duration("requests", defaultDrainRequests, 0, maxDrain),
	}
}
