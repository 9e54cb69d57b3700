package brfair

import (
	"fmt"

	"github.com/go-faster/errors"
)

// ErrFull says that an item was refused by a full queue.
type ErrFull struct {
	capacity int
}

// Error returns the message with the queue's capacity in items.
func (e ErrFull) Error() string {
	return fmt.Sprintf("fair queue is full: %d items wait", e.capacity)
}

// IsErrFull reports whether err is or wraps ErrFull.
func IsErrFull(err error) bool {
	_, ok := errors.Into[ErrFull](err)
	return ok
}
