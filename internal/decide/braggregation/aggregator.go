// Package braggregation decides which VMs are alive, and aggregates the reports of VMs by
// region and for the whole fleet.
//
// Each VM reports to one VM of its region, the one that reads the store. Those VMs
// exchange the aggregates of their regions. So the number of messages grows linearly with
// the VMs of a region and with the number of regions, not with the square of the number
// of VMs.
//
// # Usage
//
//	aggregator := braggregation.NewAggregator("north")
//	aggregator.AddReport(now, "vm-3", "north", status)
//	region := aggregator.Region(now)
//	fleet := aggregator.Fleet(now)
package braggregation

import (
	"maps"
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

const (
	// reportLifetime is the time without a report after which a VM counts as dead. It
	// covers several reports, which arrive at least twice per second.
	reportLifetime = 1600 * time.Millisecond
	// regionLifetime is the age above which the aggregate of another region is dropped.
	regionLifetime = 2500 * time.Millisecond
	// stopLifetime is how long a VM that announced its stop counts as stopped. It is
	// about the time of a restart.
	stopLifetime = 12 * time.Second
	// maxStopLatency exceeds the latency of such an announcement. If two announced stop
	// times of a VM differ by more, the VM has stopped again.
	maxStopLatency = 3 * time.Second
)

// Aggregator holds the latest reports of VMs and the latest aggregates of other regions.
// It is not safe for concurrent use.
type Aggregator struct {
	region     string
	reports    map[string]entry     // by VM
	aggregates map[string]entry     // by region
	stopped    map[string]time.Time // announced stop time by VM
}

// entry is a report of a VM or the aggregate of another region.
type entry struct {
	region string // of the reporting VM; empty in aggregates
	status brstatus.Status
	at     time.Time
}

// NewAggregator returns an empty aggregator for a VM of the given region.
func NewAggregator(region string) *Aggregator {
	return &Aggregator{region: region, reports: map[string]entry{}, aggregates: map[string]entry{}, stopped: map[string]time.Time{}}
}

// AddReport stores the report of a VM of this region, or of another region that currently
// has no VM to report to.
func (a *Aggregator) AddReport(now time.Time, vm, region string, status brstatus.Status) {
	a.reports[vm] = entry{region: region, status: status, at: now}
	a.recordStops(now, status)
}

// AddRegion stores the aggregate of another region.
func (a *Aggregator) AddRegion(now time.Time, region string, status brstatus.Status) {
	a.aggregates[region] = entry{status: status, at: now}
	a.recordStops(now, status)
}

// Region returns the aggregate of the live VMs of this region.
func (a *Aggregator) Region(now time.Time) brstatus.Status {
	removeExpired(now, a.reports, reportLifetime)
	return a.reported(a.region).WithStopping(a.stoppedAges(now))
}

// Fleet returns the aggregate of all VMs that are known to be alive, each counted once.
func (a *Aggregator) Fleet(now time.Time) brstatus.Status { return a.Total(now, a.Region(now)) }

// Total adds the other regions to the given aggregate of this region. For another region
// it uses either the reports that its VMs sent to this VM or the aggregate that the
// region sent, whichever covers more VMs. The two are not added, since VMs that search
// for a VM to report to send their report to several.
func (a *Aggregator) Total(now time.Time, region brstatus.Status) brstatus.Status {
	removeExpired(now, a.aggregates, regionLifetime)
	total := region
	for other := range a.otherRegions().All() {
		aggregate, received := a.reported(other), a.aggregates[other].status
		if len(received.Members()) > len(aggregate.Members()) {
			aggregate = received
		}
		total = total.Merge(aggregate)
	}
	return total
}

// otherRegions returns the other regions with any reports or aggregates.
func (a *Aggregator) otherRegions() brset.Set[string] {
	regions := brset.New(slices.Collect(maps.Keys(a.aggregates))...)
	for _, e := range a.reports {
		regions.Add(e.region)
	}
	regions.Remove(a.region)
	return regions
}

// reported returns the aggregate of the VMs of a region that report to this VM.
func (a *Aggregator) reported(region string) brstatus.Status {
	total := brstatus.New(nil, nil, nil)
	for _, e := range a.reports {
		if e.region == region {
			total = total.Merge(e.status)
		}
	}
	return total
}

// removeExpired removes the entries that are older than lifetime.
func removeExpired(now time.Time, entries map[string]entry, lifetime time.Duration) {
	maps.DeleteFunc(entries, func(_ string, e entry) bool { return now.Sub(e.at) > lifetime })
}

// AddStops records the announced stops that are known to the VM that this one reports to,
// so that they are still known if that VM stops too.
func (a *Aggregator) AddStops(now time.Time, fleet brstatus.Status) { a.recordStops(now, fleet) }

// recordStops records announced stops. It ignores those that this VM may have sent or
// already dropped before it received them from other VMs, since VMs would otherwise
// exchange them forever.
func (a *Aggregator) recordStops(now time.Time, status brstatus.Status) {
	for vm, age := range status.Stopping() {
		recorded, ok := a.stopped[vm]
		at := now.Add(-age)
		isNew := !ok && age <= stopLifetime-maxStopLatency
		if isNew || ok && at.Sub(recorded) > maxStopLatency {
			a.stopped[vm] = at
		}
	}
}

// stoppedAges returns the time since the announced stop by VM, and removes expired stops.
func (a *Aggregator) stoppedAges(now time.Time) map[string]time.Duration {
	stopped := map[string]time.Duration{}
	for vm, at := range a.stopped {
		if now.Sub(at) > stopLifetime {
			delete(a.stopped, vm)
			continue
		}
		stopped[vm] = now.Sub(at)
	}
	return stopped
}
