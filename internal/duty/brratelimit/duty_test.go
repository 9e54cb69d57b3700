package brratelimit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/brratelimit"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

type discardObserver struct{}

func (discardObserver) DutyStalled(string, int)          {}
func (discardObserver) DutyPanicked(string, any, []byte) {}

func TestOneTeamsChangesDoNotStarveAnother(t *testing.T) {
	clock := brclock.NewFake(time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC))
	limiter := brratelimit.New(clock)
	group := brduty.NewGroup(t.Context(), clock, discardObserver{})
	group.Start(limiter.Duty())
	defer group.Stop()
	snapshot, err := brconfig.NewSnapshot().Apply(1, []brconfig.Change{
		brconfig.Put(brconfig.NewTeam(brconfig.NewMeta("azul")).WithWritesPerMinute(2)),
		brconfig.Put(brconfig.NewTeam(brconfig.NewMeta("rojo")).WithWritesPerMinute(2)),
	})
	require.NoError(t, err)
	require.NoError(t, limiter.Snapshots().Send(snapshot))
	take := func(team string) time.Duration {
		wait, err := limiter.Take(t.Context(), team)
		require.NoError(t, err)
		return wait
	}
	require.Zero(t, take("azul"))
	require.Zero(t, take("azul"))
	require.Equal(t, 30*time.Second, take("azul"))
	require.Zero(t, take("rojo"))
	clock.Advance(30 * time.Second)
	require.Zero(t, take("azul"))
	require.Positive(t, take("azul"))
}

// Callers leave while their questions wait for the duty. Their changes are not made, so they
// must not use up the team's rate.
func TestChangesOfCallersThatLeftAreNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := brclock.NewSystem()
		limiter := brratelimit.New(clock)
		snapshot, err := brconfig.NewSnapshot().Apply(1, []brconfig.Change{
			brconfig.Put(brconfig.NewTeam(brconfig.NewMeta("azul")).WithWritesPerMinute(2)),
		})
		require.NoError(t, err)
		require.NoError(t, limiter.Snapshots().Send(snapshot))
		ctx, cancel := context.WithCancel(t.Context())
		for range 5 {
			go func() { _, _ = limiter.Take(ctx, "azul") }()
		}
		synctest.Wait()
		cancel()
		synctest.Wait()
		group := brduty.NewGroup(t.Context(), clock, discardObserver{})
		group.Start(limiter.Duty())
		defer group.Stop()
		wait, err := limiter.Take(t.Context(), "azul")
		require.NoError(t, err)
		require.Zero(t, wait)
	})
}
