package brcarrier

import (
	"bytes"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/decide/brplace"
	"bergamotroad.example/bergamotroad/internal/duty/brreplicating"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	// maxKeptBody is the largest request body that is kept, so that it can be
	// sent again; a larger one is passed on as it comes.
	maxKeptBody = 1 << 20 // bytes
	// priorityLevels is above the number of ranks of routes, so that an
	// organisation's rank goes before its route's.
	priorityLevels = 1000
	// defaultTimeout ends requests of routes that set no time.
	defaultTimeout = 30 * time.Second
)

// job is a request on its way.
type job struct {
	request      brrequest.Request
	call         brmessage.Call
	writer       Writer
	arrived      time.Time
	route        brfleet.Route
	organisation brfleet.Organisation
	service      string
	giveUp       time.Time
	body         []byte
	fingerprint  brrequest.Fingerprint
	streams      bool
	ask          brplace.Ask
	runs         int // servers that may have run the request
	tries        int
	choice       brplace.Choice // of the newest try
	version      uint64
	policyAge    time.Duration
	serversAge   time.Duration
}

// take notes what was believed when the request came.
func (j *job) take(now time.Time, state *brreplicating.State) {
	j.version = state.View().Policy().Version()
	j.policyAge = state.Age(now, brrecord.AreaOrders)
	j.serversAge = state.Age(now, brrecord.AreaServers)
}

func (j *job) setRoute(route brfleet.Route) {
	j.route = route
	j.service = partOf(route, j.request.ID())
	timeout := route.Timeout()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	j.giveUp = j.arrived.Add(timeout)
	if deadline := j.request.Deadline(); !deadline.IsZero() && deadline.Before(j.giveUp) {
		j.giveUp = deadline
	}
	j.ask = brplace.NewAsk(j.request.ID(), j.service).
		WithHomes(route.Homes()).
		WithPriority(route.Priority()).
		WithTimes(route.Objective(), j.giveUp)
	if route.Affine() {
		j.ask = j.ask.WithObject(j.request.Object())
	}
}

// partOf returns the service that gets a request, by the weights of the parts.
func partOf(route brfleet.Route, id string) string {
	parts := route.Parts()
	total := uint64(0)
	for _, p := range parts {
		total += uint64(max(p.Weight(), 0))
	}
	if total == 0 {
		return parts[0].Service()
	}
	at := xxhash.Sum64String(id) % total
	for _, p := range parts {
		weight := uint64(max(p.Weight(), 0))
		if at < weight {
			return p.Service()
		}
		at -= weight
	}
	return parts[0].Service()
}

// readBody reads a small body whole, so that the request can be sent again.
func (j *job) readBody() error {
	if j.call.Body() == nil || j.call.Size() == 0 {
		return nil
	}
	if j.call.Size() > maxKeptBody {
		j.streams = true
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(j.call.Body(), maxKeptBody+1))
	if err != nil {
		return errors.Errorf("read body of request: %w", err)
	}
	if len(body) <= maxKeptBody {
		j.body = body
		return nil
	}
	j.streams = true
	rest := io.MultiReader(bytes.NewReader(body), j.call.Body())
	j.call = brmessage.NewCall(j.call.Method(), j.call.Target(), j.call.Fields(), rest, j.call.Size())
	return nil
}

// recognise takes the request's fingerprint: who sends what.
func (j *job) recognise() {
	caller := j.route.Name() + " " + j.organisation.Name()
	j.fingerprint = brrequest.NewFingerprint(caller, j.call.Method(), j.call.Target(), j.body, j.call.Size())
}

// attempt returns the call for one more try.
func (j *job) attempt() brmessage.Call {
	fields := j.call.Fields().Clone()
	if j.streams {
		return brmessage.NewCall(j.call.Method(), j.call.Target(), fields, j.call.Body(), j.call.Size())
	}
	if len(j.body) == 0 {
		return brmessage.NewCall(j.call.Method(), j.call.Target(), fields, nil, 0)
	}
	return brmessage.NewCall(j.call.Method(), j.call.Target(), fields, bytes.NewReader(j.body), int64(len(j.body)))
}
