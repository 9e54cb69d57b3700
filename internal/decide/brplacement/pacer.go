package brplacement

import "time"

// pacer limits the rate of requests to a cold server. The zero value allows a
// request at once.
type pacer struct {
	next time.Time
}

// ready reports whether a request may be sent now.
func (p *pacer) ready(now time.Time) bool { return !now.Before(p.next) }

// take records a request; the next one is allowed after 1/rate seconds.
func (p *pacer) take(now time.Time, rate float64) {
	p.next = now.Add(time.Duration(float64(time.Second) / rate))
}
