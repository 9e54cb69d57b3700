package brdispatch

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Result is the result of a dispatched request.
type Result struct {
	fate         brrequest.Fate
	reason       brrequest.Reason
	retryAfter   time.Duration
	organisation string
	started      bool
	complete     bool
}

// Fate returns whether the request ran, did not run, or may have run.
func (r Result) Fate() brrequest.Fate { return r.fate }

// Reason returns why the request was refused or failed, or "" if it was not.
func (r Result) Reason() brrequest.Reason { return r.reason }

// RetryAfter returns the time to wait before a retry, or 0 if none is known.
func (r Result) RetryAfter() time.Duration { return r.retryAfter }

// Organisation returns the organisation that the request's API key belongs to.
func (r Result) Organisation() string { return r.organisation }

// Started reports whether the header of a response was written.
func (r Result) Started() bool { return r.started }

// IsComplete reports whether the response was written to its end.
func (r Result) IsComplete() bool { return r.complete }

// NewResult returns the result of a request without a response. A retryAfter of 0
// means that no time to wait before a retry is known.
func NewResult(fate brrequest.Fate, reason brrequest.Reason, retryAfter time.Duration) Result {
	return Result{fate: fate, reason: reason, retryAfter: retryAfter}
}

// WithStarted returns a copy of the result for a response whose header was written.
// The parameter complete tells whether the response was written to its end.
func (r Result) WithStarted(complete bool) Result {
	r.started = true
	r.complete = complete
	return r
}
