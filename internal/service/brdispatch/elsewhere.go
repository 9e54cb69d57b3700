package brdispatch

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// attemptElsewhere forwards the request to an entry VM of another failure domain.
// A request that was itself forwarded is refused instead, so that it can't loop.
func (d *Dispatcher) attemptElsewhere(ctx context.Context, j *job) ending {
	if ctx.Err() != nil {
		return refusal(reasonOf(ctx), 0)
	}
	if j.crossed {
		return refusal(brrequest.ReasonNoServer, time.Second)
	}
	target, ok := d.forwarding.Next(ctx, j.route().Service(), j.tried)
	if !ok {
		return refusal(brrequest.ReasonNoServer, time.Second)
	}
	j.tried = append(j.tried, target.Domain())
	d.events.Record(j.event(brevent.KindRequestForwarded).WithResource(target.VM()))
	answer, err := d.entry.Forward(ctx, target, j.request, j.verdict, j.attempt(ctx, d.clock.Now()))
	end, kind := d.outcome(ctx, j, answer, err)
	d.forwarding.Report(target, kind)
	end.final = end.reason == brrequest.ReasonPoison || end.reason == brrequest.ReasonPoisonSuspect
	return end
}
