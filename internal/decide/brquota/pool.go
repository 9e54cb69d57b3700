package brquota

import (
	"math"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

// maxRegionAggregates is the number of region aggregates that a lending VM keeps. They
// cover a little more than the lag of the fleet's aggregate.
const maxRegionAggregates = 8

// underloadStartFraction is the fraction of a pooled bucket that is available for an
// underloaded organisation when a VM starts to lend. The previous lender has lent
// little to it, and few VMs start to lend within one window.
const underloadStartFraction = 0.3

// pool holds the pooled fractions of the quotas, which this VM lends to the VMs of its
// region.
type pool struct {
	lending      bool
	lendingSince time.Time         // when this VM started to lend, first or after a pause longer than a window
	lentUntil    time.Time         // when it last stopped lending
	aggregates   []regionAggregate // newest first
	buckets      map[string]*bucket
}

// regionAggregate is the demand on the region at a point in time.
type regionAggregate struct {
	at     time.Time
	status brstatus.Status
}

// SetRegionDemand makes this VM lend to its region, and sets the demand on the VMs that
// report to it as of the given time.
func (l *Limiter) SetRegionDemand(at time.Time, region brstatus.Status) {
	if !l.pool.lending {
		l.pool.startLending(at, l.bounds.QuotaWindow())
	}
	l.pool.aggregates = append([]regionAggregate{{at: at, status: region}}, l.pool.aggregates...)
	if len(l.pool.aggregates) > maxRegionAggregates {
		l.pool.aggregates = l.pool.aggregates[:maxRegionAggregates]
	}
}

// StopLending makes this VM stop lending, since its region reports to another VM.
func (l *Limiter) StopLending(at time.Time) {
	if !l.pool.lending {
		return
	}
	l.pool.lending, l.pool.lentUntil = false, at
	for _, b := range l.pool.buckets {
		b.drain(at)
	}
}

// startLending starts lending. Buckets that lent within the last window keep their
// level: they don't drain while another VM lends.
func (p *pool) startLending(at time.Time, window time.Duration) {
	p.lending = true
	if p.buckets == nil || at.Sub(p.lentUntil) > window {
		*p = pool{lending: true, lendingSince: at, buckets: map[string]*bucket{}}
		return
	}
	for _, b := range p.buckets {
		b.drained = at
	}
}

// Lend decides on a request against the region's bucket, for a VM whose own bucket has
// no headroom.
func (l *Limiter) Lend(now time.Time, organisation brfleet.Organisation) Decision {
	if !l.pool.lending || l.fleetDemandStale(now) {
		return Decision{wait: minWait, fleetDemand: l.fleetStatus.Demand(organisation.Name()), fleetDemandAt: l.fleetAt}
	}
	b, known := l.pool.buckets[organisation.Name()]
	if !known {
		b = &bucket{drained: now, offset: l.random()}
		l.pool.buckets[organisation.Name()] = b
	}
	b.drain(now)
	l.resizePool(organisation, b)
	if !known && now.Sub(l.pool.lendingSince) < l.bounds.QuotaWindow() {
		// Another VM may have lent until just before.
		b.level = math.Floor(b.depth+b.offset) * (1 - l.startFraction(organisation))
	}
	return l.decide(organisation, b)
}

// RefundLent returns the token of a request that was admitted against the region's bucket,
// but did not run.
func (l *Limiter) RefundLent(organisation string) {
	if b, ok := l.pool.buckets[organisation]; ok {
		b.level = math.Max(b.level-1, 0)
	}
}

// startFraction returns the fraction of a pooled bucket that is available when this VM
// starts to lend. It is 0 unless the organisation is known to be underloaded.
func (l *Limiter) startFraction(organisation brfleet.Organisation) float64 {
	demand, size := l.regionDemand(organisation.Name())
	if l.fleetStatus.Demand(organisation.Name()) == 0 || !l.demandShareOf(organisation, demand, size).underloaded() {
		return 0
	}
	return underloadStartFraction
}

// resizePool sets the rate and depth of the region's bucket: the pooled fractions of all
// VMs that report to this one.
func (l *Limiter) resizePool(organisation brfleet.Organisation, b *bucket) {
	demand, size := l.regionDemand(organisation.Name())
	share := l.demandShareOf(organisation, demand, size)
	if !share.underloaded() {
		b.rate = pooledFraction * share.overloadedRate()
		b.depth = pooledFraction * l.remaining(organisation, 1) * share.fraction(assumedDemand)
		return
	}
	b.rate = pooledFraction * share.underloadedRate()
	b.depth = pooledFraction * l.remaining(organisation, share.load()) * share.fraction(underloadAssumedDemand)
}

// regionDemand returns the demand on the region and the number of its VMs. The fleet's
// aggregate lags behind that of the region, so regionDemand returns the minimum over the
// region's aggregates back to one as old as the fleet's. Otherwise each region would
// overestimate its share while demand grows in all of them.
func (l *Limiter) regionDemand(organisation string) (float64, int) {
	newest := l.pool.aggregates[0].status
	demand := newest.Demand(organisation)
	for _, a := range l.pool.aggregates {
		demand = math.Min(demand, a.status.Demand(organisation))
		if a.at.Before(l.fleetAt.Add(-reportLag)) {
			break
		}
	}
	return demand, len(newest.Members())
}
