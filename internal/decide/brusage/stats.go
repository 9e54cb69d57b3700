package brusage

import "bergamotroad.example/bergamotroad/internal/model/brmeter"

// Stats counts the windows that one run of a VM's process has handled. It is immutable for its
// users.
type Stats struct {
	reported int
	late     int
	skipped  int
}

// Reported returns the windows whose report was accepted in time.
func (s Stats) Reported() int { return s.reported }

// Late returns the windows whose report was accepted after it was due.
func (s Stats) Late() int { return s.late }

// NotReported returns the windows that are never reported: nothing is known of them, or too
// many reports were pending.
func (s Stats) NotReported() int { return s.skipped }

// countReport counts an accepted report.
func (s *Stats) countReport(now Instant, terms brmeter.Terms, window int64) {
	if now.wall.Before(terms.End(window).Add(terms.Late())) {
		s.reported++
	} else {
		s.late++
	}
}
