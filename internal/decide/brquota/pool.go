package brquota

import (
	"math"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brstanding"
)

// regionMemory is how many of its region's sums a VM that lends remembers: those
// of a little more than the time for which the fleet's sum lags behind them.
const regionMemory = 8

// calmInherited is the part of a bucket that is full as a VM begins to lend for an
// organisation that keeps away from its quota. The VM that lent before it has used
// little, and not many VMs begin to lend within one window.
const calmInherited = 0.3

// pool is the part of all quotas that this VM lends to the others of its region.
type pool struct {
	leads   bool
	since   time.Time   // the first moment at which this VM led, or began again after a window
	left    time.Time   // when it last ceased to lead
	sums    []regionSum // newest first
	buckets map[string]*bucket
}

// regionSum is the demand on the region at a moment.
type regionSum struct {
	at       time.Time
	standing brstanding.Standing
}

// Lead takes the sum of the region whose VMs report to this one, as of a moment.
func (l *Ledger) Lead(at time.Time, region brstanding.Standing) {
	if !l.pool.leads {
		l.pool.begin(at, l.bounds.QuotaWindow())
	}
	l.pool.sums = append([]regionSum{{at: at, standing: region}}, l.pool.sums...)
	if len(l.pool.sums) > regionMemory {
		l.pool.sums = l.pool.sums[:regionMemory]
	}
}

// Follow makes this VM lend nothing: the others report to another one.
func (l *Ledger) Follow(at time.Time) {
	if !l.pool.leads {
		return
	}
	l.pool.leads, l.pool.left = false, at
	for _, b := range l.pool.buckets {
		b.makeUp(at)
	}
}

// begin lets the VM lend. What it lent in the last window is still owed: while
// others lent nothing was made up for here.
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

// Lend rules on a request at a VM of the region whose own bucket is empty.
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
		// Another VM may have lent until just now.
		b.owed = math.Floor(b.depth+b.offset) * (1 - l.inherited(organisation))
	}
	return l.rule(organisation, b)
}

// inherited returns the part of a bucket that is full as a VM begins to lend.
func (l *Ledger) inherited(organisation brfleet.Organisation) float64 {
	own, count := l.regionDemand(organisation.Name())
	if l.standing.Demand(organisation.Name()) == 0 || !l.partOf(organisation, own, count).calm() {
		return 0
	}
	return calmInherited
}

// dividePool sets the rate and the depth of the region's bucket: the pooled parts
// of all VMs that report here.
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

// regionDemand returns what the region is asked, and the number of its VMs. The
// fleet's sum lags behind that of the own region, so the lower of the newest sum
// and of one that is as old counts: else each region would think that its part
// grows when all grow.
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
