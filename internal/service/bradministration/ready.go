package bradministration

import (
	"context"

	"github.com/go-faster/errors"
)

// ErrNotReady is returned while a VM can't serve callers yet.
type ErrNotReady struct {
	reason string
}

// Error returns the reason.
func (e ErrNotReady) Error() string { return e.reason }

// IsErrNotReady reports whether err is or wraps ErrNotReady.
func IsErrNotReady(err error) bool {
	_, ok := errors.Into[ErrNotReady](err)
	return ok
}

// Ready returns nil once the VM has a configuration that was confirmed as current,
// and ErrNotReady before that: without a confirmation the VM accepts no key.
func (a *Administration) Ready(ctx context.Context) error {
	state, err := a.replica.State(ctx)
	if err != nil {
		return errors.Errorf("read configuration: %w", err)
	}
	if state.Head().Generation() == 0 {
		return ErrNotReady{reason: "no configuration has been loaded yet"}
	}
	if state.Confirmed().IsZero() {
		return ErrNotReady{reason: "configuration has not been confirmed as current"}
	}
	return nil
}
