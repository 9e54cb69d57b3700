package brdispatch

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// maxQueueWait is the longest time that a request waits in the queue for a server of
// this failure domain, after no other failure domain accepted it.
const maxQueueWait = 2 * time.Second

// mayQueue reports whether a request for which no server had a free slot may wait
// in the queue of this VM. A forwarded request is refused instead and may wait at
// the VM that it came from.
func mayQueue(ctx context.Context, j *job, result attemptResult) bool {
	return result.reason == brrequest.ReasonNoServer &&
		result.fate == brrequest.FateNotRun &&
		j.fate == brrequest.FateNotRun &&
		!j.forwarded &&
		ctx.Err() == nil &&
		j.body.rewind()
}

// attemptQueued waits for a server in the queue, which is fair between
// organisations, and sends the request when it gets one.
func (d *Dispatcher) attemptQueued(ctx context.Context, j *job) attemptResult {
	placement := brrequest.NewPlacement(j.placement.Service(), j.placement.Organisation()).
		WithWeight(j.placement.Weight()).
		WithRoute(j.placement.Route()).
		WithDeadline(j.placement.Deadline()).
		WithMaxWait(maxQueueWait)
	server, err := d.balancer.Pick(ctx, placement)
	if err != nil && ctx.Err() != nil {
		return refusal(contextReason(ctx), 0)
	}
	if err != nil {
		return refusal(brrequest.ReasonNoServer, time.Second)
	}
	return d.attemptOnServer(ctx, j, server)
}
