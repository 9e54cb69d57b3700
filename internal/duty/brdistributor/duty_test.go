package brdistributor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/standin/brobserver"
)

type discardEvents struct{}

func (discardEvents) Record(brevent.Event) {}

// As many callers as may wait have left. The next one must wait for a change all the same:
// an immediate answer would make it poll without a pause.
func TestCallersThatLeftDontCountAsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := brclock.NewSystem()
		distributor := New(clock, discardEvents{})
		group := brduty.NewGroup(t.Context(), clock, brobserver.Nop{})
		group.Start(distributor.Duty())
		defer group.Stop()
		ctx, cancel := context.WithCancel(t.Context())
		for range maxWaiters {
			go func() { _, _ = distributor.Wait(ctx, 0, time.Minute) }()
			synctest.Wait()
		}
		cancel()
		time.Sleep(2 * waitResolution)
		started := time.Now()
		_, err := distributor.Wait(t.Context(), 0, time.Second)
		require.NoError(t, err)
		require.GreaterOrEqual(t, time.Since(started), time.Second)
	})
}
