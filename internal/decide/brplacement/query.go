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
	excluded       []string
}

// NewQuery returns the description of a request to a service.
func NewQuery(request, service string) Query { return Query{request: request, service: service} }

// WithObject returns the query with the object that the request concerns. Servers
// that have handled the object recently answer faster.
func (q Query) WithObject(object string) Query {
	q.object = object
	return q
}

// WithAllowedRegions returns the query with one more set of allowed regions. The
// server's region has to be in each of the sets; an empty set allows all regions.
func (q Query) WithAllowedRegions(regions brset.Set[string]) Query {
	if regions.Len() > 0 {
		q.allowedRegions = append(slices.Clip(q.allowedRegions), regions)
	}
	return q
}

// WithPriority returns the query with the request's priority; 0 is the most urgent.
func (q Query) WithPriority(priority int) Query {
	q.priority = priority
	return q
}

// WithTimeLimits returns the query with the latency objective and the time at which
// the caller gives up.
func (q Query) WithTimeLimits(objective time.Duration, deadline time.Time) Query {
	q.objective = objective
	q.deadline = deadline
	return q
}

// Excluding returns the query with one more server that must not be picked, since it
// has been tried.
func (q Query) Excluding(server string) Query {
	q.excluded = append(slices.Clip(q.excluded), server)
	return q
}

// WithoutExclusions returns the query as for the caller's next attempt, which may use all
// servers again.
func (q Query) WithoutExclusions() Query {
	q.excluded = nil
	return q
}

// Request returns the identifier of the request.
func (q Query) Request() string { return q.request }

// Service returns the name of the requested service.
func (q Query) Service() string { return q.service }

// Priority returns the request's priority; 0 is the most urgent.
func (q Query) Priority() int { return q.priority }

// Objective returns the latency within which the answer counts as in time.
func (q Query) Objective() time.Duration { return q.objective }

// Deadline returns the time at which the caller gives up.
func (q Query) Deadline() time.Time { return q.deadline }

// affinity returns the hash key that determines the order of the servers.
func (q Query) affinity() string {
	if q.object != "" {
		return q.object
	}
	return q.request
}

// allowsRegion reports whether the request may run in a region.
func (q Query) allowsRegion(region string) bool {
	for _, regions := range q.allowedRegions {
		if !regions.Has(region) {
			return false
		}
	}
	return true
}
