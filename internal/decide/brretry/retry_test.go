package brretry_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brretry"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// However many requests fail, retries stay within 8 % of the requests plus the three
// initial tokens of the route.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := brretry.NewBudget()
		requests := rapid.IntRange(0, 500).Draw(t, "requests")
		retries := 0
		for range requests {
			budget.Earn("a")
			for range rapid.IntRange(0, 3).Draw(t, "tries") {
				if budget.Spend("a") {
					retries++
				}
			}
		}
		require.LessOrEqual(t, 100*retries, 8*requests+300)
	})
}

// Operators may allow more retries, or fewer at once: the sum over all VMs has to stay within
// what they allow, whatever each VM has saved up.
func TestLimitsOfRouteBoundRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		burst := rapid.Float64Range(1, 8).Draw(t, "burst")
		budget := brretry.NewBudget()
		budget.SetLimits("a", brretry.NewLimits(ratio, burst))
		requests, retries := rapid.IntRange(0, 500).Draw(t, "requests"), 0
		for range requests {
			budget.Earn("a")
			for range rapid.IntRange(0, 3).Draw(t, "tries") {
				if budget.Spend("a") {
					retries++
				}
			}
		}
		require.LessOrEqual(t, float64(retries), ratio*float64(requests)+burst)
	})
}

func TestNonRepeatableRequestIsRetriedOnlyIfItDidNotRun(t *testing.T) {
	require.True(t, brretry.Allowed(brconfig.RepeatOnce, brrequest.FateNotRun))
	require.False(t, brretry.Allowed(brconfig.RepeatOnce, brrequest.FateUnknown))
	require.True(t, brretry.Allowed(brconfig.RepeatAny, brrequest.FateUnknown))
	require.False(t, brretry.Allowed(brconfig.RepeatAny, brrequest.FateRan))
}

func TestUnknownFateStaysUnknown(t *testing.T) {
	require.Equal(t, brrequest.FateUnknown, brretry.Combine(brrequest.FateUnknown, brrequest.FateNotRun))
	require.Equal(t, brrequest.FateRan, brretry.Combine(brrequest.FateUnknown, brrequest.FateRan))
	require.Equal(t, brrequest.FateNotRun, brretry.Combine(brrequest.FateNotRun, brrequest.FateNotRun))
}
