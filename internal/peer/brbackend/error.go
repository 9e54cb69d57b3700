package brbackend

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// ErrNotSent means that no byte of the request can have reached the server.
type ErrNotSent struct {
	cause error
}

// NewErrNotSent wraps the cause.
func NewErrNotSent(cause error) ErrNotSent {
	return ErrNotSent{cause: cause}
}

// Error implements error.
func (e ErrNotSent) Error() string { return fmt.Sprintf("request not sent: %v", e.cause) }

// Unwrap returns the wrapped error.
func (e ErrNotSent) Unwrap() error { return e.cause }

// IsErrNotSent reports whether err is or wraps ErrNotSent.
func IsErrNotSent(err error) bool {
	_, ok := errors.Into[ErrNotSent](err)
	return ok
}

// ErrOutcomeUnknown means that the server may or may not have run the request.
type ErrOutcomeUnknown struct {
	cause error
}

// NewErrOutcomeUnknown wraps the cause.
func NewErrOutcomeUnknown(cause error) ErrOutcomeUnknown {
	return ErrOutcomeUnknown{cause: cause}
}

// Error implements error.
func (e ErrOutcomeUnknown) Error() string { return fmt.Sprintf("outcome unknown: %v", e.cause) }

// Unwrap returns the wrapped error.
func (e ErrOutcomeUnknown) Unwrap() error { return e.cause }

// IsErrOutcomeUnknown reports whether err is or wraps ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool {
	_, ok := errors.Into[ErrOutcomeUnknown](err)
	return ok
}

// ErrShed means that the server rejected the request before running it.
type ErrShed struct {
	retryAfter time.Duration
}

// NewErrShed returns the error with the retry delay that the server asked for,
// or 0.
func NewErrShed(retryAfter time.Duration) ErrShed {
	return ErrShed{retryAfter: retryAfter}
}

// Error implements error.
func (ErrShed) Error() string { return "server shed the request" }

// RetryAfter returns the retry delay that the server asked for, or 0.
func (e ErrShed) RetryAfter() time.Duration { return e.retryAfter }

// IsErrShed reports whether err is or wraps ErrShed.
func IsErrShed(err error) bool {
	_, ok := errors.Into[ErrShed](err)
	return ok
}
