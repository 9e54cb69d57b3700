package brentryvm

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// drainTime is how long a stopping VM still accepts connections, until callers
	// have looked up other VMs.
	drainTime = 1500 * time.Millisecond
	// exitMargin is the part of the grace period that is kept for the process to
	// exit by itself.
	exitMargin = 700 * time.Millisecond
	// deregisterTimeout bounds the removal of the VM's registration.
	deregisterTimeout = time.Second
)

// stop shuts the VM down gracefully: it removes the VM from look-ups, waits for
// running requests and closes the servers.
func (v *VM) stop() error {
	v.leaving.Store(true)
	v.aggregator.Leave()
	v.closeConns()
	v.journal.StateChange("VM stops")
	start := v.clock.Now()
	v.deregister()
	v.sleep(drainTime - v.clock.Now().Sub(start))
	ctx, cancel := context.WithTimeout(context.Background(), v.Bounds().Grace()-exitMargin-v.clock.Now().Sub(start))
	defer cancel()
	group := sync.WaitGroup{}
	failures := make(chan error, len(v.servers))
	for _, server := range v.servers {
		group.Go(func() { failures <- server.Shutdown(ctx) })
	}
	group.Wait()
	close(failures)
	aborted := 0
	for err := range failures {
		if err != nil {
			aborted++
		}
	}
	v.journal.StateChange("VM stopped", "fronts_cut", aborted)
	v.sleep(exitMargin / 7)
	return nil
}

func (v *VM) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := v.registrar.Deregister(ctx); err != nil {
		v.journal.StateChange("deregistration failed", "error", errors.Errorf("remove registration: %w", err).Error())
	}
}

func (v *VM) sleep(duration time.Duration) {
	timer := v.clock.NewTimer(max(duration, 0))
	defer timer.Stop()
	<-timer.C()
}
