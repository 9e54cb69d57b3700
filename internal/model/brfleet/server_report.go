package brfleet

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/core/broption"
)

// ServerReport is what a backend server says about itself with a response. It is
// immutable; the zero value says nothing.
type ServerReport struct {
	load       broption.Option[Load]
	leaving    bool
	retryAfter time.Duration
}

// WithLoad returns the report with the server's load.
func (r ServerReport) WithLoad(load broption.Option[Load]) ServerReport {
	r.load = load
	return r
}

// WithLeaving returns the report with whether the server is about to shut down.
func (r ServerReport) WithLeaving(leaving bool) ServerReport {
	r.leaving = leaving
	return r
}

// WithRetryAfter returns the report with the time for which the server wants no more
// requests from this VM, or 0.
func (r ServerReport) WithRetryAfter(retryAfter time.Duration) ServerReport {
	r.retryAfter = retryAfter
	return r
}

// Load returns the server's load, if it reported one.
func (r ServerReport) Load() broption.Option[Load] { return r.load }

// Leaving reports whether the server is about to shut down.
func (r ServerReport) Leaving() bool { return r.leaving }

// RetryAfter returns the time for which the server wants no more requests from this VM, or
// 0.
func (r ServerReport) RetryAfter() time.Duration { return r.retryAfter }
