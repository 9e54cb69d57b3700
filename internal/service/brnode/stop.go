package brnode

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

const drainTimeout = 30 * time.Second

// stop drains the fronts and returns the cause with what went wrong meanwhile.
func (n *Node) stop(ctx context.Context, cause error) error {
	n.logger.Info("VM stops", "vm", n.settings.VM(), "cause", cause)
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	faults := []error{}
	for _, f := range n.fronts {
		if err := f.server.Shutdown(drain); err != nil {
			faults = append(faults, errors.Errorf("drain %s: %w", f.name, err))
		}
	}
	n.handBack(drain)
	return errors.Join(append(faults, cause)...)
}
