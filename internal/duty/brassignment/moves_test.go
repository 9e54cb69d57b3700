package brassignment

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/braffinity"
)

type moveJournal struct {
	lines [][]any
}

func (j *moveJournal) StateChange(change string, fields ...any) {
	j.lines = append(j.lines, append([]any{change}, fields...))
}

// A release moves objects for minutes. The log must not get a line for each of them, and
// none of them may be missing from the next line or from the metric.
func TestMovesAreLoggedAtMostOncePerInterval(t *testing.T) {
	journal := &moveJournal{}
	reporter := newMoveReporter(journal)
	start := time.Unix(1000, 0)
	moved := func(cause braffinity.Cause) braffinity.Moves {
		tracker := braffinity.NewTracker()
		tracker.Record(start, 1, "s-1", nil)
		tracker.Record(start, 1, "s-2", func(string, time.Time) braffinity.Cause { return cause })
		return tracker.TakeMoves()
	}
	reporter.report(start, moved(braffinity.CauseUnavailable))
	require.Empty(t, journal.lines)
	for second := range 25 {
		reporter.report(start.Add(time.Duration(second)*time.Second), moved(braffinity.CauseRemoved))
	}
	line := func(removed, unavailable int) []any {
		return []any{"objects moved", "added", 0, "removed", removed, "evacuated", 0, "unavailable", unavailable, "region", 0, "other", 0}
	}
	require.Equal(t, [][]any{line(1, 1), line(10, 0), line(10, 0)}, journal.lines)
	registry := prometheus.NewRegistry()
	require.NoError(t, registry.Register(reporter.total))
	families, err := registry.Gather()
	require.NoError(t, err)
	require.Len(t, families, 1)
	counts := map[string]float64{}
	for _, metric := range families[0].GetMetric() {
		counts[metric.GetLabel()[0].GetValue()] = metric.GetCounter().GetValue()
	}
	require.Equal(t, map[string]float64{"added": 0, "removed": 25, "evacuated": 0, "unavailable": 1, "region": 0, "other": 0}, counts)
}
