package brplacement

import "time"

// Availability tells whether any server may run a request, regardless of load. It is
// immutable; the zero value means that there is none.
type Availability struct {
	candidates bool
	quietUntil time.Time
}

// HasCandidates reports whether a server may run the request now.
func (a Availability) HasCandidates() bool { return a.candidates }

// QuietUntil returns the earliest time at which a server wants requests again, if all that
// may run the request want none now.
func (a Availability) QuietUntil() (time.Time, bool) {
	return a.quietUntil, !a.quietUntil.IsZero()
}

// withQuiet returns the availability with one more server that may run the request after
// the time for which it wants none.
func (a Availability) withQuiet(until time.Time) Availability {
	if a.quietUntil.IsZero() || until.Before(a.quietUntil) {
		a.quietUntil = until
	}
	return a
}
