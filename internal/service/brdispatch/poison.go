package brdispatch

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// probeDelays are the delays before each probe of a server that broke a
// connection. A dying process closes its sockets one after the other, so the
// first probe may still succeed.
var probeDelays = []time.Duration{0, 10 * time.Millisecond, 40 * time.Millisecond}

// reportToPoisonDetection reports how an attempt ended: the request completed, its
// server crashed, or neither is known.
func (d *Dispatcher) reportToPoisonDetection(ctx context.Context, j *job, server brconfig.Server, result attemptResult, kind brrequest.OutcomeKind) {
	switch {
	case result.complete:
		d.poisonDetector.ReportCompletion(j.fingerprint)
	case kind == brrequest.OutcomeBroken && d.isDead(ctx, server):
		d.poisonDetector.ReportCrash(j.fingerprint, server.Name())
	default:
		d.poisonDetector.ReportInconclusive(j.fingerprint)
	}
}

func (d *Dispatcher) isDead(ctx context.Context, server brconfig.Server) bool {
	for _, delay := range probeDelays {
		if !d.sleep(ctx, delay) {
			return false
		}
		if d.backend.IsDead(ctx, server.Address()) {
			return true
		}
	}
	return false
}

// sleep waits for the delay and returns false if the context ended before.
func (d *Dispatcher) sleep(ctx context.Context, delay time.Duration) bool {
	if delay == 0 {
		return ctx.Err() == nil
	}
	timer := d.clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C():
		return true
	case <-ctx.Done():
		return false
	}
}
