package braffinity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/braffinity"
)

// Callers request ever new objects. The tracker must neither grow without bound nor lose
// the objects that it knows.
func TestTrackerIsBoundedAndKeepsRecentObjects(t *testing.T) {
	const capacity = 4096
	now := time.Unix(1000, 0)
	calls := 0
	cause := func(string, time.Time) braffinity.Cause {
		calls++
		return braffinity.CauseOther
	}
	tracker := braffinity.NewTracker()
	record := func(from, to uint64, server string) int {
		calls = 0
		for object := from; object < to; object++ {
			tracker.Record(now, object, server, cause)
		}
		return calls
	}
	require.Zero(t, record(0, 3*capacity, "s-1"))
	require.Equal(t, capacity, record(0, 3*capacity, "s-2"), "the first ones are kept")
	now = now.Add(2 * time.Minute)
	require.Zero(t, record(2*capacity, 3*capacity, "s-1"), "old ones make room")
	require.Equal(t, capacity, record(2*capacity, 3*capacity, "s-2"))
	require.Equal(t, 2*capacity, tracker.TakeMoves().Count(braffinity.CauseOther))
	require.Zero(t, tracker.TakeMoves())
}
