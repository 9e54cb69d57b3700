package brproxy

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/duty/brreplicator"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	// priorityLevels is greater than any route's priority, so that the
	// organisation's priority takes precedence over the route's.
	priorityLevels = 1000
	// defaultTimeout is the timeout of routes that set none.
	defaultTimeout = 30 * time.Second
	// overdueDivisor divides the timeout of a route without a latency objective to get the
	// time within which servers should respond.
	overdueDivisor = 2
)

// job is the state of one request while it is forwarded.
type job struct {
	request      brrequest.Request
	call         brmessage.Call
	writer       Writer
	arrived      time.Time
	route        brfleet.Route
	organisation brfleet.Organisation
	service      string
	deadline     time.Time
	body         body
	caller       callerFailure
	memory       BodyMemory
	fingerprint  brrequest.Fingerprint
	query        brplacement.Query
	runs         int // servers that may have run the request
	tries        int
	choice       brplacement.Choice // of the latest attempt
	// responseReserved is the memory reserved for the buffered response, in bytes.
	responseReserved int64
	version          uint64
	policyAge        time.Duration
	serversAge       time.Duration
}

// recordState records the version and the age of the state at the request's arrival, for
// the log.
func (j *job) recordState(now time.Time, state *brreplicator.State) {
	j.version = state.View().Policy().Version()
	j.policyAge = state.Age(now, brrecord.AreaOrders)
	j.serversAge = state.Age(now, brrecord.AreaServers)
}

func (j *job) setRoute(route brfleet.Route) {
	j.route = route
	j.service = chooseService(route, j.request.ID())
	j.deadline = j.arrived.Add(j.timeout())
	if deadline := j.request.Deadline(); !deadline.IsZero() && deadline.Before(j.deadline) {
		j.deadline = deadline
	}
	j.query = brplacement.NewQuery(j.request.ID(), j.service).
		WithAllowedRegions(route.AllowedRegions()).
		WithPriority(route.Priority()).
		WithTimeLimits(route.TargetLatency(), j.deadline)
	if route.HasAffinity() {
		j.query = j.query.WithObject(j.request.Object())
	}
}

// timeout returns the route's timeout.
func (j *job) timeout() time.Duration {
	if timeout := j.route.Timeout(); timeout > 0 {
		return timeout
	}
	return defaultTimeout
}

// overdueAfter returns the time within which a server should respond.
func (j *job) overdueAfter() time.Duration {
	if objective := j.route.TargetLatency(); objective > 0 {
		return objective
	}
	return j.timeout() / overdueDivisor
}

// chooseService chooses one of the route's services by their weights. The same request ID
// always gets the same service.
func chooseService(route brfleet.Route, id string) string {
	services := route.WeightedServices()
	total := uint64(0)
	for _, s := range services {
		total += uint64(max(s.Weight(), 0))
	}
	if total == 0 {
		return services[0].Service()
	}
	position := xxhash.Sum64String(id) % total
	for _, s := range services {
		weight := uint64(max(s.Weight(), 0))
		if position < weight {
			return s.Service()
		}
		position -= weight
	}
	return services[0].Service()
}

// setFingerprint computes the request's fingerprint from its route, its organisation
// and its content. Of a streamed body, only the size counts.
func (j *job) setFingerprint() {
	caller := j.route.Name() + " " + j.organisation.Name()
	parts := j.body.parts
	if j.body.streamed {
		parts = nil
	}
	j.fingerprint = brrequest.NewFingerprintOfParts(caller, j.call.Method(), j.call.Target(), parts, j.call.Size())
}

// newCall returns a copy of the call for the next attempt.
func (j *job) newCall() brmessage.Call {
	fields := j.call.Fields().Clone()
	if j.body.streamed {
		return brmessage.NewCall(j.call.Method(), j.call.Target(), fields, j.call.Body(), j.call.Size())
	}
	if j.body.size == 0 {
		return brmessage.NewCall(j.call.Method(), j.call.Target(), fields, nil, 0)
	}
	return brmessage.NewCall(j.call.Method(), j.call.Target(), fields, j.body.reader(), j.body.size)
}
