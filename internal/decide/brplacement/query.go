package brplacement

import (
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brset"
)

// Query describes a request for which a server is to be picked. It is immutable.
type Query struct {
	request        string
	service        string
	object         string
	allowedRegions []brset.Set[string]
	priority       int
	objective      time.Duration
	deadline       time.Time
	tried          []string
}

// NewQuery returns the description of a request to a service.
func NewQuery(request, service string) Query { return Query{request: request, service: service} }

// WithObject returns a with the object that the request concerns. Servers that
// have handled the object recently answer faster.
func (a Query) WithObject(object string) Query {
	a.object = object
	return a
}

// WithAllowedRegions returns a with one more set of allowed regions. The server's region
// has to be in each of the sets; an empty set allows all regions.
func (a Query) WithAllowedRegions(regions brset.Set[string]) Query {
	if regions.Len() > 0 {
		a.allowedRegions = append(slices.Clip(a.allowedRegions), regions)
	}
	return a
}

// WithPriority returns a with the request's priority; 0 is the most urgent.
func (a Query) WithPriority(priority int) Query {
	a.priority = priority
	return a
}

// WithTimeLimits returns a with the latency objective and the time at which the
// caller gives up.
func (a Query) WithTimeLimits(objective time.Duration, deadline time.Time) Query {
	a.objective = objective
	a.deadline = deadline
	return a
}

// Excluding returns a with one more server that has been tried and is excluded.
func (a Query) Excluding(server string) Query {
	a.tried = append(slices.Clip(a.tried), server)
	return a
}

// Request returns the identifier of the request.
func (a Query) Request() string { return a.request }

// Service returns the name of the requested service.
func (a Query) Service() string { return a.service }

// Priority returns the request's priority; 0 is the most urgent.
func (a Query) Priority() int { return a.priority }

// Objective returns the latency within which the answer counts as in time.
func (a Query) Objective() time.Duration { return a.objective }

// Deadline returns the time at which the caller gives up.
func (a Query) Deadline() time.Time { return a.deadline }

// affinity returns the hash key that determines the order of the servers.
func (a Query) affinity() string {
	if a.object != "" {
		return a.object
	}
	return a.request
}

func (a Query) allowsRegion(region string) bool {
	for _, regions := range a.allowedRegions {
		if !regions.Has(region) {
			return false
		}
	}
	return true
}
