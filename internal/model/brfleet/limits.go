package brfleet

import "time"

// Limits are the maximum sizes and times of callers' requests. They are immutable.
type Limits struct {
	headerBytes   int
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// NewLimits returns limits with the maximum sizes of a request's header and body
// in bytes.
func NewLimits(headerBytes int, bodyBytes int64) Limits {
	return Limits{headerBytes: headerBytes, bodyBytes: bodyBytes}
}

// WithTimeouts returns the limits with the timeout for receiving a request's
// header and the timeout of idle connections.
func (l Limits) WithTimeouts(header, idle time.Duration) Limits {
	l.headerTimeout = header
	l.idleTimeout = idle
	return l
}

// HeaderBytes returns the maximum size of a request's header in bytes.
func (l Limits) HeaderBytes() int { return l.headerBytes }

// BodyBytes returns the maximum size of a request's body in bytes.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// HeaderTimeout returns the timeout for receiving a request's header.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns the timeout of idle connections.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }
