package brentryvm

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brduty"
)

const (
	// drainTime is how long a stopping VM still accepts connections, until callers
	// have looked up other VMs.
	drainTime = 1500 * time.Millisecond
	// exitMargin is the part of the grace period that is kept for the process to
	// exit by itself.
	exitMargin = 700 * time.Millisecond
	// drainDivisor and exitDivisor divide the grace period into the most that both may take.
	// Requests may run into its last sixth.
	drainDivisor = 4
	exitDivisor  = 8
	// flushTimeout bounds the time in which the last log lines are written. It is a part
	// of exitMargin.
	flushTimeout = 300 * time.Millisecond
	// deregisterTimeout bounds the removal of the VM's registration.
	deregisterTimeout = time.Second
)

// stop shuts the VM down gracefully: it removes the VM from look-ups, waits for
// running requests and closes the servers. It ends when the grace period does, less a
// margin for the exit, and early only if ctx does.
func (v *VM) stop(ctx context.Context) {
	v.leaving.Store(true)
	v.aggregator.Leave()
	v.leaveUsage()
	v.closeConns()
	v.journal.Lifecycle("VM stops")
	start := v.clock.Now()
	v.deregister(ctx)
	drain, end := stopTimes(v.Bounds().Grace())
	v.sleep(ctx, drain-v.clock.Now().Sub(start))
	ctx, cancel := context.WithTimeout(ctx, end-v.clock.Now().Sub(start))
	defer cancel()
	group := sync.WaitGroup{}
	failures := make(chan error, len(v.servers))
	for _, server := range v.servers {
		group.Go(func() { failures <- server.Shutdown(ctx) })
	}
	group.Wait()
	close(failures)
	if v.Bounds().Grace()-v.clock.Now().Sub(start) >= flushUsageTime+flushTimeout {
		v.flushUsage()
	}
	aborted := 0
	for err := range failures {
		if err != nil {
			aborted++
		}
	}
	v.journal.Lifecycle("VM stopped", "fronts_cut", aborted)
}

// stopTimes returns, since the start of a stop, the time until which a VM accepts
// connections and the time until which it waits for running requests.
func stopTimes(grace time.Duration) (drain, end time.Duration) {
	drain = min(drainTime, grace/drainDivisor)
	end = grace - min(exitMargin, grace/exitDivisor)
	return drain, end
}

func (v *VM) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if err := v.registrar.Deregister(ctx); err != nil {
		v.journal.StateChange("deregistration failed", "error", errors.Errorf("remove registration: %w", err).Error())
	}
}

// sleep returns after duration, or when ctx ends.
func (v *VM) sleep(ctx context.Context, duration time.Duration) {
	timer := v.clock.NewTimer(max(duration, 0))
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-ctx.Done():
	}
}

// stopJournal writes the pending log lines and stops the log. An output that is blocked
// does not keep the process from exiting.
func (v *VM) stopJournal(group *brduty.Group) {
	written := make(chan struct{})
	go func() {
		group.Stop()
		close(written)
	}()
	timer := v.clock.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-written:
	case <-timer.C():
	}
}
