package brbackend

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// ErrNotSent says that no byte of a request can have reached the server.
type ErrNotSent struct {
	cause error
}

// NewErrNotSent returns the error with its cause.
func NewErrNotSent(cause error) ErrNotSent {
	return ErrNotSent{cause: cause}
}

// Error returns the message with its cause.
func (e ErrNotSent) Error() string { return fmt.Sprintf("request not sent: %v", e.cause) }

// Unwrap returns the cause.
func (e ErrNotSent) Unwrap() error { return e.cause }

// IsErrNotSent reports whether err is or wraps ErrNotSent.
func IsErrNotSent(err error) bool {
	_, ok := errors.Into[ErrNotSent](err)
	return ok
}

// ErrOutcomeUnknown says that the server may or may not have run the request.
type ErrOutcomeUnknown struct {
	cause error
}

// NewErrOutcomeUnknown returns the error with its cause.
func NewErrOutcomeUnknown(cause error) ErrOutcomeUnknown {
	return ErrOutcomeUnknown{cause: cause}
}

// Error returns the message with its cause.
func (e ErrOutcomeUnknown) Error() string { return fmt.Sprintf("outcome unknown: %v", e.cause) }

// Unwrap returns the cause.
func (e ErrOutcomeUnknown) Unwrap() error { return e.cause }

// IsErrOutcomeUnknown reports whether err is or wraps ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool {
	_, ok := errors.Into[ErrOutcomeUnknown](err)
	return ok
}

// ErrShed says that a server refused a request before running it.
type ErrShed struct {
	retryAfter time.Duration
}

// NewErrShed returns the error with the time after which the server asks for
// another try, or 0.
func NewErrShed(retryAfter time.Duration) ErrShed {
	return ErrShed{retryAfter: retryAfter}
}

// Error returns the message.
func (ErrShed) Error() string { return "server shed the request" }

// RetryAfter returns the time after which the server asks for another try, or 0.
func (e ErrShed) RetryAfter() time.Duration { return e.retryAfter }

// IsErrShed reports whether err is or wraps ErrShed.
func IsErrShed(err error) bool {
	_, ok := errors.Into[ErrShed](err)
	return ok
}
