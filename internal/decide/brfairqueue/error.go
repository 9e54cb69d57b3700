package brfairqueue

import (
	"fmt"

	"github.com/go-faster/errors"
)

// ErrFull is returned for an item that a full queue refuses.
type ErrFull struct {
	capacity int
}

// Error names the capacity of the queue.
func (e ErrFull) Error() string {
	return fmt.Sprintf("fair queue is full: %d items waiting", e.capacity)
}

// IsErrFull reports whether err is or wraps ErrFull.
func IsErrFull(err error) bool {
	_, ok := errors.Into[ErrFull](err)
	return ok
}
