package brrate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brrate"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// The allowed actions never exceed a burst plus what the rate allows since the
// start, and an action that waits for the returned time is allowed.
func TestActionsStayWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 20).Draw(t, "count")
		limiter := brrate.New(count, time.Minute)
		started := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
		now := started
		allowed := 0
		for range 100 {
			wait := limiter.Take(now)
			if wait > 0 {
				now = now.Add(wait)
				require.Zero(t, limiter.Take(now))
			}
			allowed++
			interval := time.Minute / time.Duration(count)
			require.LessOrEqual(t, allowed, count+int(now.Sub(started)/interval))
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Second)
		}
	})
}
