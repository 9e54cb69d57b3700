package brquota

import (
	"math"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brstanding"
)

// regionMemory is the number of region aggregates that a lending VM keeps. They cover a
// little more than the lag of the fleet's aggregate.
const regionMemory = 8

// calmInherited is the fraction of a pooled bucket that is available when a VM starts to
// lend to an underloaded organisation. The previous lender has used little then, and few
// VMs start to lend within one window.
const calmInherited = 0.3

// pool is the state of the quotas that this VM lends to the VMs of its region.
type pool struct {
	leads   bool
	since   time.Time   // when this VM started to lend, first or after a pause longer than a window
	left    time.Time   // when it last stopped lending
	sums    []regionSum // newest first
	buckets map[string]*bucket
}

// regionSum is the demand on the region at a point in time.
type regionSum struct {
	at       time.Time
	standing brstanding.Standing
}

// Lead makes this VM lend to its region and sets the demand on the VMs that report to
// it as of the given time.
func (l *Ledger) Lead(at time.Time, region brstanding.Standing) {
	if !l.pool.leads {
		l.pool.begin(at, l.bounds.QuotaWindow())
	}
	l.pool.sums = append([]regionSum{{at: at, standing: region}}, l.pool.sums...)
	if len(l.pool.sums) > regionMemory {
		l.pool.sums = l.pool.sums[:regionMemory]
	}
}

// Follow makes this VM stop lending, since the region reports to another VM.
func (l *Ledger) Follow(at time.Time) {
	if !l.pool.leads {
		return
	}
	l.pool.leads, l.pool.left = false, at
	for _, b := range l.pool.buckets {
		b.makeUp(at)
	}
}

// begin starts lending. Buckets that lent within the last window keep their level: they
// don't drain while another VM lends.
func (p *pool) begin(at time.Time, window time.Duration) {
	p.leads = true
	if p.buckets == nil || at.Sub(p.left) > window {
		*p = pool{leads: true, since: at, buckets: map[string]*bucket{}}
		return
	}
	for _, b := range p.buckets {
		b.filled = at
	}
}

// Lend decides on a request of another VM of the region whose own bucket has no room.
func (l *Ledger) Lend(now time.Time, organisation brfleet.Organisation) Ruling {
	if !l.pool.leads || l.deaf(now) {
		return Ruling{wait: shortestWait, asked: l.standing.Demand(organisation.Name()), asOf: l.at}
	}
	b, known := l.pool.buckets[organisation.Name()]
	if !known {
		b = &bucket{filled: now, offset: l.random()}
		l.pool.buckets[organisation.Name()] = b
	}
	b.makeUp(now)
	l.dividePool(organisation, b)
	if !known && now.Sub(l.pool.since) < l.bounds.QuotaWindow() {
		// Another VM may have lent until just before.
		b.owed = math.Floor(b.depth+b.offset) * (1 - l.inherited(organisation))
	}
	return l.rule(organisation, b)
}

// inherited returns the fraction of a bucket that is available when this VM starts to
// lend.
func (l *Ledger) inherited(organisation brfleet.Organisation) float64 {
	own, count := l.regionDemand(organisation.Name())
	if l.standing.Demand(organisation.Name()) == 0 || !l.partOf(organisation, own, count).calm() {
		return 0
	}
	return calmInherited
}

// dividePool sets the rate and depth of the region's bucket: the pooled fractions of all
// VMs that report to this one.
func (l *Ledger) dividePool(organisation brfleet.Organisation, b *bucket) {
	own, count := l.regionDemand(organisation.Name())
	p := l.partOf(organisation, own, count)
	if !p.calm() {
		b.rate = pooled * p.pressedRate()
		b.depth = pooled * l.spare(organisation, 1) * p.weight(expected)
		return
	}
	b.rate = pooled * p.calmRate()
	b.depth = pooled * l.spare(organisation, p.used()) * p.weight(calmExpected)
}

// regionDemand returns the demand on the region and the number of its VMs. The fleet's
// aggregate lags behind that of the region, so it takes the minimum over the aggregates
// back to one as old as the fleet's. Otherwise each region would overestimate its share
// while demand grows in all of them.
func (l *Ledger) regionDemand(organisation string) (float64, int) {
	newest := l.pool.sums[0].standing
	demand := newest.Demand(organisation)
	for _, s := range l.pool.sums {
		demand = math.Min(demand, s.standing.Demand(organisation))
		if s.at.Before(l.at.Add(-reportAge)) {
			break
		}
	}
	return demand, len(newest.Members())
}
