package brdispatch

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Result says what became of a request.
type Result struct {
	fate         brrequest.Fate
	reason       brrequest.Reason
	retryAfter   time.Duration
	organisation string
	started      bool
	whole        bool
}

// Fate returns whether the request ran.
func (r Result) Fate() brrequest.Fate { return r.fate }

// Reason returns why the request was refused or failed, or none as "".
func (r Result) Reason() brrequest.Reason { return r.reason }

// RetryAfter returns the time after which another try makes sense, or 0.
func (r Result) RetryAfter() time.Duration { return r.retryAfter }

// Organisation returns the organisation whose key came with the request.
func (r Result) Organisation() string { return r.organisation }

// Started reports whether the head of an answer was written.
func (r Result) Started() bool { return r.started }

// Whole reports whether the whole answer was written.
func (r Result) Whole() bool { return r.whole }

// NewResult returns the result of a request without an answer, and after what
// time another try makes sense; 0 says nothing of that.
func NewResult(fate brrequest.Fate, reason brrequest.Reason, retryAfter time.Duration) Result {
	return Result{fate: fate, reason: reason, retryAfter: retryAfter}
}

// WithStarted returns the result of a request whose answer was begun, and
// whether it was written whole.
func (r Result) WithStarted(whole bool) Result {
	r.started = true
	r.whole = whole
	return r
}
