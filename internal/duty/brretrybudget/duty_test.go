package brretrybudget_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/brretrybudget"
	"bergamotroad.example/bergamotroad/internal/standin/brobserver"
)

// Callers leave while their questions wait for the duty. Their retries are not sent, so they
// must not use up the budget of the route.
func TestRetriesOfCallersThatLeftAreNotCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := brclock.NewSystem()
		budgets := brretrybudget.New(clock)
		ctx, cancel := context.WithCancel(t.Context())
		for range 20 {
			go budgets.Spend(ctx, "cylinders")
		}
		synctest.Wait()
		cancel()
		synctest.Wait()
		group := brduty.NewGroup(t.Context(), clock, brobserver.Nop{})
		group.Start(budgets.Duty())
		defer group.Stop()
		for range 3 {
			require.True(t, budgets.Spend(t.Context(), "cylinders"))
		}
		require.False(t, budgets.Spend(t.Context(), "cylinders"))
	})
}
