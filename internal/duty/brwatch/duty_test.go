package brwatch

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/duty/brreplicator"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/peer/brregistry"
)

// forgetfulRegistry is a store that lists its records and has no history.
type forgetfulRegistry struct {
	brregistry.Registry
}

func (forgetfulRegistry) List(_ context.Context, area brrecord.Area) (brrecord.Batch, error) {
	return brrecord.NewBatch(area, nil, 1, true), nil
}

func (forgetfulRegistry) Changes(context.Context, brrecord.Area, brrecord.Revision, time.Duration) (brrecord.Batch, error) {
	return brrecord.Batch{}, brregistry.ErrHistoryGone{}
}

// Guards against a reader that lists again without a pause for as long as the store rejects its
// position, beyond the store's rates (review case 11).
func TestReaderPausesWhilePositionsAreRejected(t *testing.T) {
	clock := brclock.NewFake(time.Unix(1000, 0))
	journal := brjournal.New(clock, "vm-1", io.Discard)
	replicator := brreplicator.New(clock, nil, journal)
	group := brduty.NewGroup(t.Context(), clock, nil)
	group.Start(replicator.Duty())
	t.Cleanup(group.Stop)
	w := New(clock, brrecord.AreaOrders, forgetfulRegistry{}, replicator, journal)
	w.SetActive(true)
	pauses := []time.Duration{}
	for range 5 {
		w.handler.Tick(t.Context(), clock.Now())
		require.Eventually(t, func() bool { return replicator.State().IsKnown(brrecord.AreaOrders) }, time.Minute, time.Millisecond)
		pause, active := w.handler.Due(clock.Now())
		require.True(t, active)
		pauses = append(pauses, pause)
		clock.Advance(pause)
	}
	require.Equal(t, []time.Duration{0, 0, initialBackoff, maxUrgentBackoff, maxUrgentBackoff}, pauses)
}
