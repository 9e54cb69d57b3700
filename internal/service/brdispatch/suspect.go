package brdispatch

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// probePauses are the times between probes of a server that broke a
// connection: a process that dies closes its sockets one after the other.
var probePauses = []time.Duration{0, 10 * time.Millisecond, 40 * time.Millisecond}

// tellPoisoning tells what an attempt says of the request: that it runs, that
// its server died, or nothing.
func (d *Dispatcher) tellPoisoning(ctx context.Context, j *job, server brconfig.Server, end ending, kind brrequest.OutcomeKind) {
	switch {
	case end.whole:
		d.poisoning.Ran(j.fingerprint)
	case kind == brrequest.OutcomeBroken && d.isDead(ctx, server):
		d.poisoning.Killed(j.fingerprint, server.Name())
	default:
		d.poisoning.Ended(j.fingerprint)
	}
}

func (d *Dispatcher) isDead(ctx context.Context, server brconfig.Server) bool {
	for _, pause := range probePauses {
		if !d.sleep(ctx, pause) {
			return false
		}
		if d.backend.IsDead(ctx, server.Address()) {
			return true
		}
	}
	return false
}

// sleep reports whether the context outlasted the pause.
func (d *Dispatcher) sleep(ctx context.Context, pause time.Duration) bool {
	if pause == 0 {
		return ctx.Err() == nil
	}
	timer := d.clock.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C():
		return true
	case <-ctx.Done():
		return false
	}
}
