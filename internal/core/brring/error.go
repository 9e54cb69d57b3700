package brring

import (
	"fmt"

	"github.com/go-faster/errors"
)

// ErrFull is returned when a message is rejected because the ring is full.
type ErrFull struct {
	capacity int
}

// Error returns a message with the number of queued messages at which the ring
// rejects further ones.
func (e ErrFull) Error() string {
	return fmt.Sprintf("ring is full: %d messages queued", e.capacity)
}

// IsErrFull reports whether err is or wraps ErrFull.
func IsErrFull(err error) bool {
	_, ok := errors.Into[ErrFull](err)
	return ok
}

// ErrClosed is returned when the ring has been closed, usually because its receiver
// has stopped.
type ErrClosed struct{}

// Error implements error.
func (ErrClosed) Error() string {
	return "ring is closed"
}

// IsErrClosed reports whether err is or wraps ErrClosed.
func IsErrClosed(err error) bool {
	_, ok := errors.Into[ErrClosed](err)
	return ok
}
