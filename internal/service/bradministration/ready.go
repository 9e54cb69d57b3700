package bradministration

import (
	"context"

	"github.com/go-faster/errors"
)

// ErrNotReady says why a VM can't serve callers yet.
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

// Ready returns nil once a configuration is in force that was known to be
// current, and ErrNotReady before. Without that no key would be honoured.
func (a *Administration) Ready(ctx context.Context) error {
	state, err := a.spreading.State(ctx)
	if err != nil {
		return errors.Errorf("read configuration: %w", err)
	}
	if state.Head().Generation() == 0 {
		return ErrNotReady{reason: "no configuration is in force"}
	}
	if state.Confirmed().IsZero() {
		return ErrNotReady{reason: "configuration is not confirmed to be current"}
	}
	return nil
}
