package brusage_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brusage"
)

// Steps of the time of day, also back, must not move windows; a slow adjustment is followed.
func TestCorrectorRemovesSteps(t *testing.T) {
	corrector := brusage.Corrector{}
	start := time.Unix(1_767_225_600, 0)
	require.Equal(t, start, corrector.Correct(0, start).Wall())
	for i, step := range []time.Duration{3 * time.Second, 3 * time.Second, 0, -5 * time.Second, 0} {
		steady := time.Duration(i+1) * time.Second
		require.Equal(t, start.Add(steady), corrector.Correct(steady, start.Add(steady+step)).Wall())
	}
	drift := time.Duration(0)
	for i := range 100 {
		drift += 5 * time.Millisecond
		steady := time.Duration(i+10) * time.Second
		require.Equal(t, start.Add(steady+drift), corrector.Correct(steady, start.Add(steady+drift)).Wall())
	}
}

// A VM whose clock is off when it starts takes the time of the majority; others don't follow it.
func TestAgreementFollowsMajority(t *testing.T) {
	now := time.Unix(1_767_225_600, 0)
	instant := func(second int, ahead time.Duration) brusage.Instant {
		return brusage.NewInstant(time.Duration(second)*time.Second, now.Add(time.Duration(second)*time.Second+ahead))
	}
	for _, wrong := range []time.Duration{4 * time.Second, -4 * time.Second} {
		off, sound := brusage.NewAgreement(), brusage.NewAgreement()
		for second := range 3 {
			off.Observe(instant(second, wrong), "run-2", instant(second, 0).Wall())
			off.Observe(instant(second, wrong), "run-3", instant(second, 80*time.Millisecond).Wall())
			sound.Observe(instant(second, 0), "run-1", instant(second, wrong).Wall())
			sound.Observe(instant(second, 0), "run-3", instant(second, -80*time.Millisecond).Wall())
		}
		require.InDelta(t, -wrong, off.Offset(), float64(100*time.Millisecond))
		require.Zero(t, sound.Offset())
	}
}

// With one other VM nobody knows which clock is wrong; a VM that reports to another one takes
// the time that this one knows.
func TestAgreementNeedsMajority(t *testing.T) {
	now := brusage.NewInstant(0, time.Unix(1_767_225_600, 0))
	agreement := brusage.NewAgreement()
	agreement.Observe(now, "run-2", now.Wall().Add(time.Minute))
	require.False(t, agreement.Known())
	require.Zero(t, agreement.Offset())
	agreement.ObserveFleet(now, now.Wall().Add(100*time.Millisecond))
	require.Zero(t, agreement.Offset(), "the time that messages take")
	agreement.ObserveFleet(now, now.Wall().Add(3*time.Second))
	require.Equal(t, 3*time.Second, agreement.Offset())
	agreement.ObserveFleet(now, now.Wall().Add(3100*time.Millisecond))
	require.Equal(t, 3*time.Second, agreement.Offset())
}
