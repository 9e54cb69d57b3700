package brring

import (
	"fmt"

	"github.com/go-faster/errors"
)

// ErrFull says that a message was refused by a full ring.
type ErrFull struct {
	capacity int
}

// Error returns the message with the ring's capacity in messages.
func (e ErrFull) Error() string {
	return fmt.Sprintf("ring is full: %d messages wait", e.capacity)
}

// IsErrFull reports whether err is or wraps ErrFull.
func IsErrFull(err error) bool {
	_, ok := errors.Into[ErrFull](err)
	return ok
}

// ErrClosed says that the ring's receiver has ended.
type ErrClosed struct{}

// Error returns the message.
func (ErrClosed) Error() string {
	return "ring is closed"
}

// IsErrClosed reports whether err is or wraps ErrClosed.
func IsErrClosed(err error) bool {
	_, ok := errors.Into[ErrClosed](err)
	return ok
}
