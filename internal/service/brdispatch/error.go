package brdispatch

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// ErrRefused is returned if another entry VM refused a request. The request did
// not run.
type ErrRefused struct {
	reason     brrequest.Reason
	retryAfter time.Duration
}

// NewErrRefused returns the error with the other VM's reason and the time to wait
// before a retry, or 0 if none was given.
func NewErrRefused(reason brrequest.Reason, retryAfter time.Duration) ErrRefused {
	return ErrRefused{reason: reason, retryAfter: retryAfter}
}

// Error implements error.
func (e ErrRefused) Error() string {
	return fmt.Sprintf("other entry VM refused the request: %s", e.reason)
}

// Reason returns the reason that the other VM gave.
func (e ErrRefused) Reason() brrequest.Reason { return e.reason }

// RetryAfter returns the time to wait before a retry, or 0 if none was given.
func (e ErrRefused) RetryAfter() time.Duration { return e.retryAfter }

// IsErrRefused reports whether err is or wraps ErrRefused.
func IsErrRefused(err error) bool {
	_, ok := errors.Into[ErrRefused](err)
	return ok
}
