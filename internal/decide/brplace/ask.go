package brplace

import (
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brset"
)

// Ask describes a request for which a server is to be picked. It is immutable.
type Ask struct {
	request        string
	service        string
	object         string
	allowedRegions []brset.Set[string]
	priority       int
	objective      time.Duration
	deadline       time.Time
	tried          []string
}

// NewAsk returns the description of a request to a service.
func NewAsk(request, service string) Ask { return Ask{request: request, service: service} }

// WithObject returns a with the object that the request concerns. Servers that
// have handled the object recently answer faster.
func (a Ask) WithObject(object string) Ask {
	a.object = object
	return a
}

// WithHomes returns a with one more set of allowed regions. The server's region
// has to be in each of the sets; an empty set allows all regions.
func (a Ask) WithHomes(regions brset.Set[string]) Ask {
	if regions.Len() > 0 {
		a.allowedRegions = append(slices.Clip(a.allowedRegions), regions)
	}
	return a
}

// WithPriority returns a with the request's priority; 0 is the most urgent.
func (a Ask) WithPriority(priority int) Ask {
	a.priority = priority
	return a
}

// WithTimes returns a with the latency objective and the time at which the
// caller gives up.
func (a Ask) WithTimes(objective time.Duration, deadline time.Time) Ask {
	a.objective = objective
	a.deadline = deadline
	return a
}

// Avoiding returns a with one more server that has been tried and is excluded.
func (a Ask) Avoiding(server string) Ask {
	a.tried = append(slices.Clip(a.tried), server)
	return a
}

// Request returns the identifier of the request.
func (a Ask) Request() string { return a.request }

// Service returns the name of the requested service.
func (a Ask) Service() string { return a.service }

// Priority returns the request's priority; 0 is the most urgent.
func (a Ask) Priority() int { return a.priority }

// Objective returns the latency within which the answer counts as in time.
func (a Ask) Objective() time.Duration { return a.objective }

// GiveUp returns the time at which the caller gives up.
func (a Ask) GiveUp() time.Time { return a.deadline }

// affinity returns the hash key that determines the order of the servers.
func (a Ask) affinity() string {
	if a.object != "" {
		return a.object
	}
	return a.request
}

func (a Ask) allowsRegion(region string) bool {
	for _, regions := range a.allowedRegions {
		if !regions.Has(region) {
			return false
		}
	}
	return true
}
