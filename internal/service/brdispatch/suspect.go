package brdispatch

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// probePauses are the delays before each probe of a server that broke a
// connection. A dying process closes its sockets one after the other, so the
// first probe may still succeed.
var probePauses = []time.Duration{0, 10 * time.Millisecond, 40 * time.Millisecond}

// tellPoisoning reports the end of an attempt to poison detection: the request
// completed, its server crashed, or neither is known.
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

// sleep waits for the pause and returns false if the context ended before.
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
