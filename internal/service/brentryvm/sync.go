package brentryvm

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/decide/brdiscovery"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brmeter"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
	"bergamotroad.example/bergamotroad/internal/model/brsync"
)

const (
	// lookupTTL is how long callers may use the result of a look-up: short enough
	// that they stop using a dead VM within seconds.
	lookupTTL = 2 * time.Second
	// livenessTTL is the age beyond which data about the liveness of other VMs
	// is not used.
	livenessTTL = 3 * time.Second
)

// Sync stores the report of a VM. It waits for records that are newer than the known
// revisions and returns them with the status of the fleet.
func (v *VM) Sync(ctx context.Context, vm, region string, known brrecord.Revisions, wait time.Duration, report brstatus.Status) (brsync.Update, error) {
	v.aggregator.Report(vm, region, report.WithUsage(brmeter.Usage{}))
	v.mergeUsage(report, true)
	batches, err := v.replicator.Await(ctx, known, wait)
	if err != nil {
		return brsync.Update{}, errors.Errorf("wait for new records: %w", err)
	}
	summary := v.aggregator.Summary()
	return brsync.NewUpdate(batches, v.acknowledged(summary.Fleet()), v.clock.Now().Sub(summary.AsOf())).
		WithReadsStore(v.syncer.ReadsStore()).
		WithLender(summary.IsLeader()), nil
}

// Exchange stores the status of another region and returns that of this region.
func (v *VM) Exchange(_ context.Context, region string, status brstatus.Status) (string, brstatus.Status, error) {
	v.aggregator.ReportRegion(region, status.WithUsage(brmeter.Usage{}))
	// Another region may take this VM for the one that others report to before or after it is.
	// What it gets then has to reach the VM that it reports to.
	v.mergeUsage(status, !v.aggregator.Summary().IsLeader())
	return v.config.self.Region(), v.acknowledged(v.aggregator.Summary().Region()), nil
}

// mergeUsage adds the usage in a message of another VM; direct means that this VM passes its
// counts on.
func (v *VM) mergeUsage(status brstatus.Status, direct bool) {
	if v.counter != nil {
		v.counter.Merge(status.Usage(), direct)
	}
}

// acknowledged returns a status for the response to another VM, which tells that its usage has
// arrived.
func (v *VM) acknowledged(status brstatus.Status) brstatus.Status {
	if v.counter == nil {
		return status
	}
	return status.WithUsage(v.counter.Acknowledgement())
}

// Borrow decides for another VM of the region, which has used up its own share of
// an organisation's quota, whether one more request is within the quota.
func (v *VM) Borrow(ctx context.Context, name string) (brsync.Grant, error) {
	organisation, ok := v.replicator.State().View().Policy().Organisation(name)
	if !ok {
		return brsync.NewGrant(false, 0), nil
	}
	decision, err := v.enforcer.Lend(ctx, organisation)
	if err != nil {
		return brsync.Grant{}, errors.Errorf("check region's shared quota: %w", err)
	}
	return brsync.NewGrant(decision.Admitted(), decision.Wait()), nil
}

// Resolve returns the VMs that a caller in a region should use for a host, and how long
// the caller may use them.
func (v *VM) Resolve(host, region string) ([]brfleet.VM, time.Duration) {
	view := v.replicator.State().View()
	allowedRegions, _ := view.Policy().AllowedRegionsOf(host)
	vms := brdiscovery.Choose(v.registered(view), v.livenessCheck(), region, allowedRegions)
	return vms, min(lookupTTL, v.Bounds().LookupTTL())
}

// registered returns the registered VMs. It includes this VM even if it is not
// registered yet.
func (v *VM) registered(view *brfleet.View) []brfleet.VM {
	for _, vm := range view.VMs() {
		if vm.Name() == v.config.self.Name() {
			return view.VMs()
		}
	}
	return append([]brfleet.VM{v.config.self}, view.VMs()...)
}

// livenessCheck returns a function that reports whether a VM is alive and serving, as
// far as this VM knows.
func (v *VM) livenessCheck() func(vm string) bool {
	summary := v.aggregator.Summary()
	fresh := v.clock.Now().Sub(summary.AsOf()) <= livenessTTL
	return func(vm string) bool {
		if vm == v.config.self.Name() {
			return !v.leaving.Load()
		}
		return fresh && summary.Fleet().IsMember(vm)
	}
}
