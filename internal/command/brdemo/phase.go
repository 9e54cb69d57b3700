package brdemo

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/peer/bradmin"
)

// times holds the times of events in a run; the zero time means that the event
// did not happen.
type times struct {
	start         time.Time
	end           time.Time
	keyRevoked    time.Time
	serverLeaving time.Time
	outageStart   time.Time
	outageEnd     time.Time
}

func (t times) withSpan(start, end time.Time) times {
	t.start = start
	t.end = end
	return t
}

// phase is a change that is made after a fraction of the run.
type phase struct {
	name string
	at   float64 // fraction of the run
	run  func(ctx context.Context, clock brclock.Clock, fleet *fleet, generator *loadGenerator, eventTimes *times) error
}

var phases = []phase{
	{name: "one organisation above rate", at: 0.1, run: exceedRate},
	{name: "key withdrawn", at: 0.35, run: revokeKey},
	{name: "server leaving", at: 0.5, run: setServerLeaving},
	{name: "VM stopping", at: 0.65, run: stopVM},
	{name: "platform down", at: 0.8, run: startOutage},
	{name: "platform back", at: 0.95, run: endOutage},
}

func exceedRate(_ context.Context, _ brclock.Clock, _ *fleet, generator *loadGenerator, _ *times) error {
	generator.overload.Store(true)
	return nil
}

func revokeKey(ctx context.Context, clock brclock.Clock, fleet *fleet, generator *loadGenerator, eventTimes *times) error {
	generator.overload.Store(false)
	if _, err := fleet.administration().Delete(ctx, "key", keyName(orgRevoked), bradmin.ChangeOptions{}); err != nil {
		return errors.Errorf("revoke key: %w", err)
	}
	eventTimes.keyRevoked = clock.Now()
	return nil
}

func setServerLeaving(ctx context.Context, clock brclock.Clock, fleet *fleet, _ *loadGenerator, eventTimes *times) error {
	document, err := json.Marshal(fleet.servers[leavingServer].document("leaving"))
	if err != nil {
		return errors.Errorf("encode server: %w", err)
	}
	if _, err := fleet.administration().Apply(ctx, []json.RawMessage{document}, bradmin.ChangeOptions{}); err != nil {
		return errors.Errorf("set server leaving: %w", err)
	}
	eventTimes.serverLeaving = clock.Now()
	return nil
}

func stopVM(_ context.Context, _ brclock.Clock, fleet *fleet, _ *loadGenerator, _ *times) error {
	fleet.stopVM(stoppedVM)
	return nil
}

func startOutage(_ context.Context, clock brclock.Clock, fleet *fleet, _ *loadGenerator, eventTimes *times) error {
	fleet.faults.SetDown(true)
	eventTimes.outageStart = clock.Now()
	return nil
}

func endOutage(_ context.Context, clock brclock.Clock, fleet *fleet, _ *loadGenerator, eventTimes *times) error {
	fleet.faults.SetDown(false)
	eventTimes.outageEnd = clock.Now()
	return nil
}
