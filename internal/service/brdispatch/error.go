package brdispatch

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// ErrRefused says that another entry VM refused a request, which did not run.
type ErrRefused struct {
	reason     brrequest.Reason
	retryAfter time.Duration
}

// NewErrRefused returns the error with the other VM's reason, and the time
// after which another try makes sense, or 0.
func NewErrRefused(reason brrequest.Reason, retryAfter time.Duration) ErrRefused {
	return ErrRefused{reason: reason, retryAfter: retryAfter}
}

// Error returns the message with the reason.
func (e ErrRefused) Error() string { return fmt.Sprintf("other VM refused: %s", e.reason) }

// Reason returns the other VM's reason.
func (e ErrRefused) Reason() brrequest.Reason { return e.reason }

// RetryAfter returns the time after which another try makes sense, or 0.
func (e ErrRefused) RetryAfter() time.Duration { return e.retryAfter }

// IsErrRefused reports whether err is or wraps ErrRefused.
func IsErrRefused(err error) bool {
	_, ok := errors.Into[ErrRefused](err)
	return ok
}
