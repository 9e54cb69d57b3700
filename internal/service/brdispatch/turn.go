package brdispatch

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// maxTurn bounds how long a request waits for its turn at the servers of this
// failure domain, once no other one takes it.
const maxTurn = 2 * time.Second

// mayWait reports whether a request that nobody had a slot for may wait here. A
// request that came from another failure domain goes back there instead.
func mayWait(ctx context.Context, j *job, end ending) bool {
	return end.reason == brrequest.ReasonNoServer &&
		end.fate == brrequest.FateNotRun &&
		j.fate == brrequest.FateNotRun &&
		!j.crossed &&
		ctx.Err() == nil &&
		j.body.rewind()
}

// attemptInTurn waits in the fair queue between organisations and sends the
// request once its turn has come.
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
