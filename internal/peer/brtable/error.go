package brtable

import (
	"fmt"

	"github.com/go-faster/errors"
)

// ErrRowNotExist means that no row with the key exists.
type ErrRowNotExist struct {
	key string
}

// NewErrRowNotExist returns the error for a key.
func NewErrRowNotExist(key string) ErrRowNotExist {
	return ErrRowNotExist{key: key}
}

// Error returns a message with the key.
func (e ErrRowNotExist) Error() string { return fmt.Sprintf("row %q does not exist", e.key) }

// IsErrRowNotExist reports whether err is or wraps ErrRowNotExist.
func IsErrRowNotExist(err error) bool {
	_, ok := errors.Into[ErrRowNotExist](err)
	return ok
}

// ErrPrecondition means that a transaction wrote nothing because a precondition did
// not hold.
type ErrPrecondition struct{}

// Error returns the message.
func (ErrPrecondition) Error() string { return "precondition of transaction does not hold" }

// IsErrPrecondition reports whether err is or wraps ErrPrecondition.
func IsErrPrecondition(err error) bool {
	_, ok := errors.Into[ErrPrecondition](err)
	return ok
}

// ErrUnavailable means that the table service did not carry out the call.
type ErrUnavailable struct {
	cause error
}

// NewErrUnavailable returns the error with its cause.
func NewErrUnavailable(cause error) ErrUnavailable {
	return ErrUnavailable{cause: cause}
}

// Error returns the message with its cause.
func (e ErrUnavailable) Error() string { return fmt.Sprintf("table service unavailable: %v", e.cause) }

// Unwrap returns the cause.
func (e ErrUnavailable) Unwrap() error { return e.cause }

// IsErrUnavailable reports whether err is or wraps ErrUnavailable.
func IsErrUnavailable(err error) bool {
	_, ok := errors.Into[ErrUnavailable](err)
	return ok
}

// ErrOutcomeUnknown means that a transaction may or may not have been written.
type ErrOutcomeUnknown struct {
	cause error
}

// NewErrOutcomeUnknown returns the error with its cause.
func NewErrOutcomeUnknown(cause error) ErrOutcomeUnknown {
	return ErrOutcomeUnknown{cause: cause}
}

// Error returns the message with its cause.
func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("outcome of transaction unknown: %v", e.cause)
}

// Unwrap returns the cause.
func (e ErrOutcomeUnknown) Unwrap() error { return e.cause }

// IsErrOutcomeUnknown reports whether err is or wraps ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool {
	_, ok := errors.Into[ErrOutcomeUnknown](err)
	return ok
}
