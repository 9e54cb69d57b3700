package brdispatch

import (
	"context"
	"strconv"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// fieldTimeout is the header field that tells servers and other VMs the
// remaining time to the deadline, in milliseconds.
const fieldTimeout = "Bergamotroad-Timeout"

// job is the state of one request while it is dispatched.
type job struct {
	request      brrequest.Request
	decision     brrequest.Decision
	call         brmessage.Call
	writer       Writer
	forwarded    bool
	body         *body
	fingerprint  brrequest.Fingerprint
	placement    brrequest.Placement
	triedDomains []string
	attempts     int
	fate         brrequest.Fate
}

func (j *job) route() brconfig.Route { return j.decision.Route() }

// timeout returns the timeout of the request: the route's timeout or the time to
// the caller's deadline, whichever is shorter.
func (j *job) timeout(now time.Time) time.Duration {
	timeout := j.route().Timeout()
	if deadline := j.request.Deadline(); !deadline.IsZero() {
		timeout = min(timeout, deadline.Sub(now))
	}
	return timeout
}

// deadlineBeforeTimeout reports whether the caller's deadline comes before the route's timeout.
func (j *job) deadlineBeforeTimeout(now time.Time) bool {
	return !j.request.Deadline().IsZero() && j.request.Deadline().Before(now.Add(j.route().Timeout()))
}

// prepare buffers the body and computes the fingerprint and placement that all
// attempts share.
func (j *job) prepare(ctx context.Context) error {
	requestBody, err := bufferBody(limitBody(j.call, j.route().MaxBody()))
	if err != nil {
		return err
	}
	j.body = requestBody
	j.fingerprint = brrequest.NewFingerprint(j.route().Name(), j.call.Method(), j.call.Target(), requestBody.buffered, j.call.Size())
	j.placement = brrequest.NewPlacement(j.route().Service(), j.decision.Organisation()).WithWeight(j.decision.Weight()).WithRoute(j.route().Name())
	if deadline, ok := ctx.Deadline(); ok {
		j.placement = j.placement.WithDeadline(deadline)
	}
	return nil
}

// newCall returns a call for one attempt, with its own copy of the header fields
// and its own reader of the body.
func (j *job) newCall(ctx context.Context, now time.Time) brmessage.Call {
	fields := j.call.Fields().Clone()
	if deadline, ok := ctx.Deadline(); ok {
		fields.Set(fieldTimeout, strconv.FormatInt(max(deadline.Sub(now).Milliseconds(), 0), 10))
	}
	return brmessage.NewCall(j.call.Method(), j.call.Target(), fields, j.body.reader(), j.call.Size())
}
