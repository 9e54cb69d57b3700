package brdispatch

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// maxTurn is the longest time that a request waits in the queue for a server of
// this failure domain, after no other failure domain accepted it.
const maxTurn = 2 * time.Second

// mayWait reports whether a request for which no server had a free slot may wait
// in the queue of this VM. A forwarded request is refused instead and may wait at
// the VM that it came from.
func mayWait(ctx context.Context, j *job, end ending) bool {
	return end.reason == brrequest.ReasonNoServer &&
		end.fate == brrequest.FateNotRun &&
		j.fate == brrequest.FateNotRun &&
		!j.crossed &&
		ctx.Err() == nil &&
		j.body.rewind()
}

// attemptInTurn waits for a server in the queue, which is fair between
// organisations, and sends the request when it gets one.
func (d *Dispatcher) attemptInTurn(ctx context.Context, j *job) ending {
	placement := brrequest.NewPlacement(j.placement.Service(), j.placement.Organisation()).
		WithWeight(j.placement.Weight()).
		WithRoute(j.placement.Route()).
		WithDeadline(j.placement.Deadline()).
		Waiting(maxTurn)
	server, err := d.balancing.Pick(ctx, placement)
	if err != nil && ctx.Err() != nil {
		return refusal(reasonOf(ctx), 0)
	}
	if err != nil {
		return refusal(brrequest.ReasonNoServer, time.Second)
	}
	return d.attemptAt(ctx, j, server)
}
