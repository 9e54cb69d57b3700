package brdemo

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/peer/bradmin"
)

// history holds the times of events in a run; the zero time means that the event
// did not happen.
type history struct {
	start         time.Time
	end           time.Time
	keyWithdrawn  time.Time
	serverLeaving time.Time
	outageStart   time.Time
	outageEnd     time.Time
}

func (h history) withSpan(start, end time.Time) history {
	h.start = start
	h.end = end
	return h
}

// phase is a change that is made when the given fraction of the run has passed.
type phase struct {
	name string
	at   float64
	run  func(ctx context.Context, clock brclock.Clock, fleet *fleet, crowd *crowd, happened *history) error
}

var phases = []phase{
	{name: "one organisation above rate", at: 0.1, run: startOverload},
	{name: "key withdrawn", at: 0.35, run: withdrawKey},
	{name: "server leaving", at: 0.5, run: leaveServer},
	{name: "VM stopping", at: 0.65, run: stopVM},
	{name: "platform down", at: 0.8, run: startOutage},
	{name: "platform back", at: 0.95, run: endOutage},
}

func startOverload(_ context.Context, _ brclock.Clock, _ *fleet, crowd *crowd, _ *history) error {
	crowd.overload.Store(true)
	return nil
}

func withdrawKey(ctx context.Context, clock brclock.Clock, fleet *fleet, crowd *crowd, happened *history) error {
	crowd.overload.Store(false)
	if _, err := fleet.administration().Delete(ctx, "key", keyName(orgWithdrawn), bradmin.Change{}); err != nil {
		return errors.Errorf("withdraw key: %w", err)
	}
	happened.keyWithdrawn = clock.Now()
	return nil
}

func leaveServer(ctx context.Context, clock brclock.Clock, fleet *fleet, _ *crowd, happened *history) error {
	document, err := json.Marshal(fleet.servers[leavingServer].document("leaving"))
	if err != nil {
		return errors.Errorf("encode server: %w", err)
	}
	if _, err := fleet.administration().Apply(ctx, []json.RawMessage{document}, bradmin.Change{}); err != nil {
		return errors.Errorf("set server leaving: %w", err)
	}
	happened.serverLeaving = clock.Now()
	return nil
}

func stopVM(_ context.Context, _ brclock.Clock, fleet *fleet, _ *crowd, _ *history) error {
	fleet.stopOne(stoppedVM)
	return nil
}

func startOutage(_ context.Context, clock brclock.Clock, fleet *fleet, _ *crowd, happened *history) error {
	fleet.faults.SetDown(true)
	happened.outageStart = clock.Now()
	return nil
}

func endOutage(_ context.Context, clock brclock.Clock, fleet *fleet, _ *crowd, happened *history) error {
	fleet.faults.SetDown(false)
	happened.outageEnd = clock.Now()
	return nil
}
