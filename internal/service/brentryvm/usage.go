package brentryvm

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/duty/brusagecounter"
	"bergamotroad.example/bergamotroad/internal/duty/brusagereporter"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brmeter"
)

const (
	// runLength is the length of the identifier of a run, in characters of 5 bits each.
	runLength = 10
	// flushCallTimeout bounds the last report of usage.
	flushCallTimeout = 150 * time.Millisecond
	// flushUsageTime is the time for the publication and the report of the last counts. It is a
	// part of exitMargin that flushTimeout leaves.
	flushUsageTime = brusagecounter.PublishPeriod + flushCallTimeout
)

// addUsage adds the duties of usage metering, if it is enabled.
func (v *VM) addUsage(adapter Adapter) {
	if !v.config.metering.Enabled() || adapter.billing == nil {
		return
	}
	steady, name := brclock.NewBootTime(), v.config.self.Name()
	v.counter = brusagecounter.New(v.clock, steady, v.config.metering, name, rand.Text()[:runLength])
	isLeader := func() bool { return v.aggregator.Summary().IsLeader() }
	v.reporter = brusagereporter.New(v.clock, steady, v.config.metering, name, v.counter, isLeader, adapter.leases, adapter.billing, v.journal)
	v.duties = append(v.duties, v.counter.Duty())
	v.duties = append(v.duties, v.reporter.Duties()...)
	v.collectors = append(v.collectors, v.reporter.Collectors()...)
}

// leaveUsage gives the lease for usage reports up, if this VM holds it.
func (v *VM) leaveUsage() {
	if v.reporter != nil {
		v.reporter.Leave()
	}
}

// flushUsage sends the counts of this VM, once its last requests have ended, to the VMs that
// may hold the lease: the first live one of each region.
func (v *VM) flushUsage() {
	if v.counter == nil {
		return
	}
	v.sleep(context.Background(), brusagecounter.PublishPeriod)
	snapshot, state := v.counter.Snapshot(), v.replicator.State()
	report := v.aggregator.Summary().Own().WithUsage(brmeter.NewUsage(snapshot.Run(), snapshot.Since(0)))
	ctx, cancel := context.WithTimeout(context.Background(), flushCallTimeout)
	defer cancel()
	group := sync.WaitGroup{}
	for _, vm := range v.likelyReaders() {
		group.Go(func() {
			// The counts are lost if the call fails: there is no time to try again.
			_, _ = v.client.Sync(ctx, vm.PeerAddress(), v.config.self.Name(), v.config.self.Region(), state.Revisions(), 0, report)
		})
	}
	group.Wait()
}

// likelyReaders returns the first other live VM of each region in the order by which VMs choose
// the one that reads the store.
func (v *VM) likelyReaders() []brfleet.VM {
	isAlive := v.livenessCheck()
	first := []brfleet.VM{}
	seen := map[string]bool{}
	for _, vm := range v.replicator.State().View().VMs() {
		if vm.Name() == v.config.self.Name() || seen[vm.Region()] || !isAlive(vm.Name()) {
			continue
		}
		seen[vm.Region()] = true
		first = append(first, vm)
	}
	return first
}
