package brproxy

import (
	"bytes"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/duty/brreplicator"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	// maxBufferedBody is the largest request body that is buffered, so that the request
	// can be retried; a larger one is streamed.
	maxBufferedBody = 1 << 20 // bytes
	// priorityLevels is greater than any route's priority, so that the
	// organisation's priority takes precedence over the route's.
	priorityLevels = 1000
	// defaultTimeout is the timeout of routes that set none.
	defaultTimeout = 30 * time.Second
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
	body         []byte
	fingerprint  brrequest.Fingerprint
	streamsBody  bool
	query        brplacement.Query
	runs         int // servers that may have run the request
	tries        int
	choice       brplacement.Choice // of the latest attempt
	version      uint64
	policyAge    time.Duration
	serversAge   time.Duration
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
	timeout := route.Timeout()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	j.deadline = j.arrived.Add(timeout)
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

// readBody buffers a small body, so that the request can be retried.
func (j *job) readBody() error {
	if j.call.Body() == nil || j.call.Size() == 0 {
		return nil
	}
	if j.call.Size() > maxBufferedBody {
		j.streamsBody = true
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(j.call.Body(), maxBufferedBody+1))
	if err != nil {
		return errors.Errorf("read request body: %w", err)
	}
	if len(body) <= maxBufferedBody {
		j.body = body
		return nil
	}
	j.streamsBody = true
	rest := io.MultiReader(bytes.NewReader(body), j.call.Body())
	j.call = brmessage.NewCall(j.call.Method(), j.call.Target(), j.call.Fields(), rest, j.call.Size())
	return nil
}

// setFingerprint computes the request's fingerprint from its route, its organisation
// and its content.
func (j *job) setFingerprint() {
	caller := j.route.Name() + " " + j.organisation.Name()
	j.fingerprint = brrequest.NewFingerprint(caller, j.call.Method(), j.call.Target(), j.body, j.call.Size())
}

// newCall returns a copy of the call for the next attempt.
func (j *job) newCall() brmessage.Call {
	fields := j.call.Fields().Clone()
	if j.streamsBody {
		return brmessage.NewCall(j.call.Method(), j.call.Target(), fields, j.call.Body(), j.call.Size())
	}
	if len(j.body) == 0 {
		return brmessage.NewCall(j.call.Method(), j.call.Target(), fields, nil, 0)
	}
	return brmessage.NewCall(j.call.Method(), j.call.Target(), fields, bytes.NewReader(j.body), int64(len(j.body)))
}
