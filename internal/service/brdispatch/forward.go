package brdispatch

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// attemptForwarded forwards the request to an entry VM of another failure domain.
// A request that was itself forwarded is refused instead, so that it can't loop.
func (d *Dispatcher) attemptForwarded(ctx context.Context, j *job) attemptResult {
	if ctx.Err() != nil {
		return refusal(contextReason(ctx), 0)
	}
	if j.forwarded {
		return refusal(brrequest.ReasonNoServer, time.Second)
	}
	target, ok := d.targetSelector.Next(ctx, j.route().Service(), j.triedDomains)
	if !ok {
		return refusal(brrequest.ReasonNoServer, time.Second)
	}
	j.triedDomains = append(j.triedDomains, target.Domain())
	d.events.Record(j.event(brevent.KindRequestForwarded).WithResource(target.VM()))
	response, err := d.forwarder.Forward(ctx, target, j.request, j.decision, j.newCall(ctx, d.clock.Now()))
	result, kind := d.handleResponse(ctx, j, response, err)
	d.targetSelector.Report(target, kind)
	result.final = result.reason == brrequest.ReasonPoison || result.reason == brrequest.ReasonPoisonSuspect
	return result
}
