package brproxy

import (
	"sync/atomic"
	"time"

	"bergamotroad.example/bergamotroad/internal/peer/brbackend"
)

// assumedRunTime is the time after which an attempt without a response counts as running, so
// that a long one is counted in its window. Servers that reject a request do so earlier.
const assumedRunTime = 500 * time.Millisecond

// UsageCounter counts requests for usage metering.
type UsageCounter interface {
	// Count counts a request of an organisation that was sent to a server at a time and ran,
	// or may have run.
	Count(organisation string, at time.Time)
}

// startCount returns the function to be called with the error of an attempt that starts now, as
// soon as the head of the response has arrived. The attempt is counted for its organisation
// unless it did not run.
func (p *Proxy) startCount(j *job, sent time.Time) func(err error) {
	organisation := j.organisation.Name()
	if p.usage == nil || organisation == "" {
		return func(error) {}
	}
	decided := &atomic.Bool{}
	timer := time.AfterFunc(assumedRunTime, func() {
		if decided.CompareAndSwap(false, true) {
			p.usage.Count(organisation, sent)
		}
	})
	return func(err error) {
		timer.Stop()
		ran := !brbackend.IsErrShed(err) && !brbackend.IsErrNotSent(err)
		if decided.CompareAndSwap(false, true) && ran {
			p.usage.Count(organisation, sent)
		}
	}
}
