// Package brcensus decides who is taken to live, and sums up what the VMs of a
// region and of the fleet report.
//
// Each VM reports to one VM of its region, the one that reads the store; those
// exchange the sums of their regions. So what is told grows with the VMs of a
// region and with the number of regions, never with VMs times VMs.
//
// # Usage
//
//	book := brcensus.NewBook("north")
//	book.Report(now, "vm-3", "north", standing)
//	region := book.Region(now)
//	fleet := book.Fleet(now)
package brcensus

import (
	"maps"
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/model/brstanding"
)

const (
	// reportLifetime is the silence after which a VM is taken to be dead: a few
	// reports, which come twice a second or more.
	reportLifetime = 1600 * time.Millisecond
	// regionLifetime is the silence after which what another region said is void.
	regionLifetime = 2500 * time.Millisecond
	// leftLifetime is how long a VM that said that it stops is taken to be away: about
	// the time in which it ends and starts again.
	leftLifetime = 12 * time.Second
	// leftTravel is above the time that word of it is on its way: a difference
	// that is larger means that the VM has stopped once more.
	leftTravel = 3 * time.Second
)

// Book holds the newest reports. It has one owner.
type Book struct {
	region  string
	vms     map[string]entry     // by VM
	regions map[string]entry     // by region
	left    map[string]time.Time // when VMs said that they stop
}

type entry struct {
	region   string // of a VM
	standing brstanding.Standing
	at       time.Time
}

// NewBook returns the book of a VM of a region, without reports.
func NewBook(region string) *Book {
	return &Book{region: region, vms: map[string]entry{}, regions: map[string]entry{}, left: map[string]time.Time{}}
}

// Report takes the report of a VM of a region: of the own one, or of another whose
// VMs follow nobody of their own now.
func (b *Book) Report(now time.Time, vm, region string, standing brstanding.Standing) {
	b.vms[vm] = entry{region: region, standing: standing, at: now}
	b.learnLeft(now, standing)
}

// Exchange takes the sum of another region.
func (b *Book) Exchange(now time.Time, region string, standing brstanding.Standing) {
	b.regions[region] = entry{standing: standing, at: now}
	b.learnLeft(now, standing)
}

// Region returns the sum over the VMs of the own region that live.
func (b *Book) Region(now time.Time) brstanding.Standing {
	forget(now, b.vms, reportLifetime)
	return b.reported(b.region).WithLeft(b.leavers(now))
}

// Fleet returns the sum over all VMs that are known to live, each counted once.
func (b *Book) Fleet(now time.Time) brstanding.Standing { return b.Total(now, b.Region(now)) }

// Total adds the other regions to the sum of the own one as of now. Of another
// region that is what its VMs report here or what it told, whichever knows of more
// VMs: while VMs look for one to follow, they report to several.
func (b *Book) Total(now time.Time, region brstanding.Standing) brstanding.Standing {
	forget(now, b.regions, regionLifetime)
	total := region
	for other := range b.others().All() {
		here, there := b.reported(other), b.regions[other].standing
		if len(there.Members()) > len(here.Members()) {
			here = there
		}
		total = total.Plus(here)
	}
	return total
}

// others returns the other regions of which anything is known.
func (b *Book) others() brset.Set[string] {
	others := brset.New(slices.Collect(maps.Keys(b.regions))...)
	for _, e := range b.vms {
		others.Add(e.region)
	}
	others.Remove(b.region)
	return others
}

// reported returns the sum over the VMs of a region that report here.
func (b *Book) reported(region string) brstanding.Standing {
	total := brstanding.New(nil, nil, nil)
	for _, e := range b.vms {
		if e.region == region {
			total = total.Plus(e.standing)
		}
	}
	return total
}

// forget removes the entries that are too old.
func forget(now time.Time, entries map[string]entry, lifetime time.Duration) {
	maps.DeleteFunc(entries, func(_ string, e entry) bool { return now.Sub(e.at) > lifetime })
}

// Adopt takes what the VM that this one follows says of those that stop, so that
// it is known still where that one stops too.
func (b *Book) Adopt(now time.Time, fleet brstanding.Standing) { b.learnLeft(now, fleet) }

// learnLeft takes word of VMs that stop, but for what may be an echo of what this
// book has told or forgotten.
func (b *Book) learnLeft(now time.Time, standing brstanding.Standing) {
	for vm, age := range standing.Leavers() {
		known, ok := b.left[vm]
		at := now.Add(-age)
		isNew := !ok && age <= leftLifetime-leftTravel
		if isNew || ok && at.Sub(known) > leftTravel {
			b.left[vm] = at
		}
	}
}

// leavers returns how long ago VMs said that they stop, and forgets who has been
// away for long.
func (b *Book) leavers(now time.Time) map[string]time.Duration {
	left := map[string]time.Duration{}
	for vm, at := range b.left {
		if now.Sub(at) > leftLifetime {
			delete(b.left, vm)
			continue
		}
		left[vm] = now.Sub(at)
	}
	return left
}
