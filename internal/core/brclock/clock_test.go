package brclock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
)

var start = time.Date(2026, time.December, 4, 0, 0, 0, 0, time.UTC)

func TestFakeTimerFiresOnceWhenDue(t *testing.T) {
	clock := brclock.NewFake(start)
	timer := clock.NewTimer(time.Second)
	clock.Advance(999 * time.Millisecond)
	require.Empty(t, timer.C())
	clock.Advance(time.Millisecond)
	require.Equal(t, start.Add(time.Second), <-timer.C())
	clock.Advance(time.Hour)
	require.Empty(t, timer.C())
	timer.Reset(time.Minute)
	require.True(t, timer.Stop())
}

func TestHybridTimestampsIncreaseWhileClockStandsStill(t *testing.T) {
	hybrid := brclock.NewHybrid(brclock.NewFake(start))
	first := hybrid.Next()
	second := hybrid.Next()
	require.Negative(t, first.Compare(second))
	hybrid.Observe(brclock.NewTimestamp(start.Add(time.Second), 4))
	require.Equal(t, brclock.NewTimestamp(start.Add(time.Second), 5), hybrid.Next())
}

func TestHybridIgnoresTimestampsFarAhead(t *testing.T) {
	hybrid := brclock.NewHybrid(brclock.NewFake(start))
	hybrid.Observe(brclock.NewTimestamp(start.Add(time.Hour), 0))
	require.Equal(t, start, hybrid.Next().Wall())
}
