package brassignment

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bergamotroad.example/bergamotroad/internal/decide/braffinity"
)

// movesLogInterval is the interval between log lines about objects that moved. A release that
// replaces servers one after the other moves objects all the time.
const movesLogInterval = 10 * time.Second

// moveReporter counts and logs objects that changed their first server.
type moveReporter struct {
	total    *prometheus.CounterVec
	journal  Journal
	unlogged map[braffinity.Cause]int
	loggedAt time.Time
}

func newMoveReporter(journal Journal) *moveReporter {
	total := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bergamotroad_object_moves_total",
		Help: "Recently requested objects whose first server changed, by cause.",
	}, []string{"cause"})
	for _, cause := range braffinity.Causes() {
		total.WithLabelValues(cause.String())
	}
	return &moveReporter{total: total, journal: journal, unlogged: map[braffinity.Cause]int{}}
}

// report counts moves, and logs them at most once in movesLogInterval. Servers that are
// unavailable for a short time are not logged: under load there are some at any time.
func (r *moveReporter) report(now time.Time, moves braffinity.Moves) {
	logged := 0
	for _, cause := range braffinity.Causes() {
		if count := moves.Count(cause); count > 0 {
			r.total.WithLabelValues(cause.String()).Add(float64(count))
			r.unlogged[cause] += count
		}
		if cause != braffinity.CauseUnavailable {
			logged += r.unlogged[cause]
		}
	}
	if logged == 0 || now.Sub(r.loggedAt) < movesLogInterval {
		return
	}
	fields := []any{}
	for _, cause := range braffinity.Causes() {
		fields = append(fields, cause.String(), r.unlogged[cause])
	}
	r.journal.StateChange("objects moved", fields...)
	clear(r.unlogged)
	r.loggedAt = now
}
