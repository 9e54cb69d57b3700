// Package brquota decides which requests of an organisation are within its quota.
//
// The quota is fleet-wide: it bounds the requests that all VMs together admit in any
// sliding window. Each VM meters an organisation with a leaky bucket whose drain rate
// and depth follow the demand on the whole fleet. While an organisation's demand is
// below its rate, the buckets are deep, so that small bursts are admitted on any VM;
// the depths over all VMs add up to what the window still allows. Once its demand
// reaches the quota, the rate is divided among the VMs in proportion to demand, and
// requests admitted through deeper buckets count against the new depth.
//
// A fraction of each quota is pooled in one bucket per region, on the VM that
// aggregates the demand reports of that region. A VM whose own bucket is full asks
// that VM for a token before it refuses a request.
//
// The other VMs reserve an equal share for each VM that they receive no reports from.
// A VM uses no more than that equal share if its own demand is missing from the
// fleet's aggregate, or if it receives no aggregate.
//
// # Usage
//
//	limiter := brquota.NewLimiter(now, bounds, rand.Float64)
//	limiter.SetFleetDemand(now, status, vms, status.IsMember(vm))
//	if decision := limiter.Admit(now, organisation); !decision.Admitted() {
//		// Ask the lending VM of the region, which calls
//		// limiter.SetRegionDemand(now, region) and limiter.Lend(now, organisation).
//		// If it refuses too, refuse the request with decision.Wait() as the retry delay.
//	}
package brquota

import (
	"math"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

const (
	// windowUtilisation is the fraction of a window's allowance that the VMs use. The
	// rest is a margin for requests in flight and for aggregates that are up to a
	// second old.
	windowUtilisation = 0.94
	// assumedDemand is a demand, as a fraction of the rate, that is assumed for all VMs
	// together in addition to the measured one, so that a VM without measured demand
	// can admit its first callers immediately.
	assumedDemand = 0.25
	// underloadThreshold is the fraction of its rate up to which an organisation counts
	// as underloaded. An underloaded organisation may use underloadFactor times its
	// demand.
	underloadThreshold = 0.85
	underloadFactor    = 2
	// minUnderloadRate and maxUnderloadRate bound what an underloaded organisation may
	// use, as fractions of its rate. underloadAssumedDemand replaces the assumed demand
	// for it.
	minUnderloadRate       = 0.7
	maxUnderloadRate       = 1.5
	underloadAssumedDemand = 0.3
	// burstRequests and burstTime bound the depth of a bucket while an organisation is
	// underloaded: a number of requests for random bursts, plus the requests that
	// arrive within burstTime.
	burstRequests = 4
	burstTime     = 1200 * time.Millisecond
	// minDepth is the minimum depth of a bucket while an organisation is underloaded,
	// even where the depths then add up to more than the window allows: with many VMs
	// and a small rate, nearly every caller would be refused otherwise. If demand then
	// rises above recoveryThreshold times the rate, the excess that such buckets
	// admitted is recovered: for one window the organisation gets only the fraction
	// recoveryFactor of its rate.
	minDepth          = 2
	recoveryFactor    = 0.3
	recoveryThreshold = 1.5
	// pooledFraction is the fraction of each quota that the VMs of a region share in one
	// bucket. It absorbs random bursts at a single VM; without it, the bucket of every
	// VM would have to be deep enough for such a burst.
	pooledFraction = 0.35
	// fleetDemandLifetime is the age above which the fleet's demand is not used.
	fleetDemandLifetime = 2 * time.Second
	// demandHalfLife is the half-life of a VM's moving average of demand.
	demandHalfLife = 1200 * time.Millisecond
	// reportLag is how much older than the fleet's demand the reports in it are: the
	// time that they take to the aggregating VM of the region and on to other regions.
	// To compute its share, a VM uses its own demand as of the same time. With its
	// current demand it would overestimate its share while demand grows on all VMs.
	reportLag  = 800 * time.Millisecond
	maxReports = 16
	// startBurstFraction and startSlackFraction are the fractions of the burst and of
	// the quota's slack that all VMs together admit when they start.
	startBurstFraction = 0.3
	startSlackFraction = 0.5
	// minReportedDemand is the demand, in requests per second, below which none is
	// reported.
	minReportedDemand = 0.01
	// minWait and maxWait bound the retry delay of a refused caller.
	minWait = 200 * time.Millisecond
	maxWait = 2 * time.Second
)

// Limiter holds this VM's buckets for the quotas of all organisations. It is not safe
// for concurrent use.
type Limiter struct {
	bounds      brfleet.Bounds
	accounts    map[string]*account
	fleetStatus brstatus.Status
	fleetAt     time.Time
	vms         int
	included    bool
	random      func() float64
	started     time.Time
	pool        pool
}

// bucket is a leaky bucket that counts admitted requests.
type bucket struct {
	level   float64 // admitted requests that have not drained yet
	rate    float64 // drain rate in requests per second
	depth   float64 // requests
	offset  float64 // in [0, 1); rounds the depth up on some VMs and down on others
	drained time.Time
}

// drain drains the bucket for the time since the last call.
func (b *bucket) drain(now time.Time) {
	elapsed := now.Sub(b.drained).Seconds()
	b.drained = now
	b.level = math.Max(b.level-elapsed*b.rate, 0)
}

// headroom returns the number of requests that the bucket can admit now.
func (b *bucket) headroom() float64 { return math.Floor(b.depth+b.offset) - b.level }

// account is the state of one organisation on this VM.
type account struct {
	bucket
	demand        float64 // requests per second, as of demandAsOf
	demandAsOf    time.Time
	recoveryEnd   time.Time          // end of the recovery from an overcommitted window
	overcommitted bool               // the depths of all VMs add up to more than the window allows
	starting      bool               // created in the first window after this VM started
	reports       [maxReports]report // newest first
}

// report is the demand on this VM at a point in time.
type report struct {
	at     time.Time
	demand float64 // requests per second
}

// NewLimiter returns the limiter of a VM that starts now and has received no reports.
// random must return numbers in [0, 1).
func NewLimiter(now time.Time, bounds brfleet.Bounds, random func() float64) *Limiter {
	return &Limiter{bounds: bounds, accounts: map[string]*account{}, vms: 1, random: random, started: now}
}

// SetFleetDemand sets the demand on the whole fleet as of the given time, the number of
// VMs that share the quotas, and whether the fleet's demand includes that on this VM.
func (l *Limiter) SetFleetDemand(at time.Time, status brstatus.Status, vms int, included bool) {
	l.fleetStatus = status
	l.fleetAt = at
	l.vms = max(vms, 1)
	l.included = included
}

// Decision is the decision on a request with the figures behind it. It is immutable.
type Decision struct {
	admitted      bool
	wait          time.Duration
	rate          float64
	depth         float64
	level         float64
	fleetDemand   float64
	fleetDemandAt time.Time
	lender        string
	lenderSilent  bool // the lender did not answer
}

// WithGrant returns the decision with the answer of the lending VM.
func (d Decision) WithGrant(lender string, granted bool, wait time.Duration) Decision {
	d.lender = lender
	d.admitted = granted
	d.wait = max(wait, minWait)
	return d
}

// WithSilentLender returns the decision for a lending VM that did not answer.
func (d Decision) WithSilentLender(lender string) Decision {
	d.lender = lender
	d.lenderSilent = true
	return d
}

// Lender returns the VM that was asked for a token, or "".
func (d Decision) Lender() string { return d.lender }

// LenderSilent reports whether that VM did not answer.
func (d Decision) LenderSilent() bool { return d.lenderSilent }

// Admitted reports whether the request is within the quota.
func (d Decision) Admitted() bool { return d.admitted }

// Wait returns the delay after which a refused request may be retried.
func (d Decision) Wait() time.Duration { return d.wait }

// Rate returns the drain rate of this VM's bucket in requests per second.
func (d Decision) Rate() float64 { return d.rate }

// Depth returns the depth of this VM's bucket in requests.
func (d Decision) Depth() float64 { return d.depth }

// Level returns the level of this VM's bucket before the decision: the admitted
// requests that had not drained.
func (d Decision) Level() float64 { return d.level }

// FleetDemand returns the demand on the whole fleet in requests per second, as known to
// this VM.
func (d Decision) FleetDemand() float64 { return d.fleetDemand }

// FleetDemandTime returns the time as of which FleetDemand was measured.
func (d Decision) FleetDemandTime() time.Time { return d.fleetDemandAt }

// Admit decides on one request against this VM's own bucket.
func (l *Limiter) Admit(now time.Time, organisation brfleet.Organisation) Decision {
	if !organisation.Limited() {
		return Decision{admitted: true}
	}
	a := l.account(now, organisation)
	a.addRequest(now)
	a.drain(now)
	l.resize(now, organisation, a)
	if a.starting && now.Sub(l.started) >= l.bounds.QuotaWindow() {
		a.starting = false
		a.level = math.Min(a.level, a.maxLevelAfterStart())
	}
	return l.decide(organisation, &a.bucket)
}

// decide admits a request if the bucket has headroom for it.
func (l *Limiter) decide(organisation brfleet.Organisation, b *bucket) Decision {
	decision := Decision{rate: b.rate, depth: b.depth, level: b.level, fleetDemand: l.fleetStatus.Demand(organisation.Name()), fleetDemandAt: l.fleetAt}
	headroom := b.headroom()
	if headroom >= 1 {
		b.level++
		decision.admitted = true
		return decision
	}
	decision.wait = retryDelay(decision, organisation, headroom)
	return decision
}

// retryDelay returns the delay after which a refused caller may retry.
func retryDelay(decision Decision, organisation brfleet.Organisation, headroom float64) time.Duration {
	// While demand exceeds the rate, the same proportion of retries is refused again, so
	// the delay grows with the overload.
	overload := math.Max(decision.fleetDemand/organisation.Rate(), 1)
	wait := time.Duration(overload * (1 - headroom) / math.Max(decision.rate, minReportedDemand) * float64(time.Second))
	return min(max(wait, time.Duration(overload*float64(minWait))), maxWait)
}

// Refund returns the token of an admitted request that did not run.
func (l *Limiter) Refund(organisation string) {
	if a, ok := l.accounts[organisation]; ok {
		a.level = math.Max(a.level-1, 0)
	}
}

// account returns the account of an organisation. In the first window after the VM
// starts, a new account has hardly any headroom, since it is unknown how many requests
// were admitted just before the start.
func (l *Limiter) account(now time.Time, organisation brfleet.Organisation) *account {
	a, ok := l.accounts[organisation.Name()]
	if !ok {
		a = &account{bucket: bucket{drained: now, offset: l.random()}, demandAsOf: now, starting: now.Sub(l.started) < l.bounds.QuotaWindow()}
		l.accounts[organisation.Name()] = a
		if !a.starting {
			return a
		}
		l.resize(now, organisation, a)
		a.level = math.Floor(a.depth + a.offset)
		if l.random() < (startBurstFraction*organisation.Burst()+startSlackFraction*l.bounds.QuotaSlack())/float64(l.vms) {
			a.level = math.Max(a.level-1, 0)
		}
	}
	return a
}

// maxLevelAfterStart returns the maximum level after the VM's first window. It is 0.
// Where the depths of all VMs overcommit the window, a bucket instead has headroom for
// one request and drains gradually.
func (a *account) maxLevelAfterStart() float64 {
	if !a.overcommitted {
		return 0
	}
	return math.Max(math.Floor(a.depth+a.offset)-1, 0)
}

// addRequest adds a request, admitted or not, to the measured demand.
func (a *account) addRequest(now time.Time) {
	a.demand = a.demandAt(now) + math.Ln2/demandHalfLife.Seconds()
	a.demandAsOf = now
}

// demandAt returns the moving average of demand in requests per second.
func (a *account) demandAt(now time.Time) float64 {
	return a.demand * math.Exp2(-float64(now.Sub(a.demandAsOf))/float64(demandHalfLife))
}

// reportedDemand returns the demand in the newest report that is not after the given
// time, or 0 without one.
func (a *account) reportedDemand(at time.Time) float64 {
	for _, r := range a.reports {
		if !r.at.After(at) {
			return r.demand
		}
	}
	return 0
}

// resize sets the rate and depth of this VM's own bucket. Without current fleet demand,
// the VM uses an equal share of the quota.
func (l *Limiter) resize(now time.Time, organisation brfleet.Organisation, a *account) {
	vms, rate := float64(l.vms), organisation.Rate()
	if l.fleetDemandStale(now) {
		a.rate = rate / vms
		a.depth = l.remaining(organisation, 1) / vms
		return
	}
	share := l.demandShareOf(organisation, a.reportedDemand(l.fleetAt.Add(-reportLag)), 1)
	if !share.underloaded() {
		a.rate = (1 - pooledFraction) * share.overloadedRate()
		a.depth = (1 - pooledFraction) * l.remaining(organisation, 1) * share.fraction(assumedDemand)
		l.recoverExcess(now, organisation, a)
		return
	}
	remaining := (1 - pooledFraction) * l.remaining(organisation, share.load()) * share.fraction(underloadAssumedDemand)
	maxDepth := burstRequests + math.Max(share.demand, share.fleetDemand*share.fraction(underloadAssumedDemand))*burstTime.Seconds()
	a.rate = (1 - pooledFraction) * share.underloadedRate()
	a.depth = math.Max(math.Min(remaining, maxDepth), minDepth)
	a.overcommitted = remaining < minDepth
}

// fleetDemandStale reports whether the fleet's demand is too old to use.
func (l *Limiter) fleetDemandStale(now time.Time) bool {
	return now.Sub(l.fleetAt) > fleetDemandLifetime
}

// demandShare is the demand of an organisation on a group of VMs, set against its
// demand on all VMs.
type demandShare struct {
	demand       float64 // requests per second on the group
	fleetDemand  float64 // requests per second on all VMs
	quotaRate    float64 // quota of the organisation in requests per second
	sizeFraction float64 // size of the group as a fraction of all VMs
	reported     bool    // the other VMs know the demand on the group
}

// demandShareOf returns the share of a group of size VMs with the given demand.
func (l *Limiter) demandShareOf(organisation brfleet.Organisation, demand float64, size int) demandShare {
	vms := float64(l.vms)
	reportingFraction := math.Max(math.Min(float64(len(l.fleetStatus.Members()))/vms, 1), 1/vms)
	return demandShare{
		demand: demand, fleetDemand: math.Max(l.fleetStatus.Demand(organisation.Name())/reportingFraction, demand), quotaRate: organisation.Rate(),
		sizeFraction: float64(size) / vms, reported: l.included,
	}
}

// underloaded reports whether the organisation is underloaded. Demand is measured over
// about a second, so its square root is subtracted as the random deviation.
func (s demandShare) underloaded() bool {
	return s.fleetDemand-math.Sqrt(s.fleetDemand) <= underloadThreshold*s.quotaRate
}

func (s demandShare) load() float64 { return s.fleetDemand / s.quotaRate }

// fraction returns the group's fraction of the quota. assumed is a demand, as a fraction
// of the rate, that is assumed in addition to the measured one and spread equally over
// all VMs. VMs whose reports the others don't receive use at most the equal share that
// the others reserve for them.
func (s demandShare) fraction(assumed float64) float64 {
	fraction := (s.demand + assumed*s.quotaRate*s.sizeFraction) / (s.fleetDemand + assumed*s.quotaRate)
	if !s.reported {
		return math.Min(fraction, s.sizeFraction)
	}
	return fraction
}

func (s demandShare) overloadedRate() float64 { return s.quotaRate * s.fraction(assumedDemand) }

func (s demandShare) underloadedRate() float64 {
	return s.quotaRate * s.fraction(underloadAssumedDemand) * math.Min(math.Max(underloadFactor*s.load(), minUnderloadRate), maxUnderloadRate)
}

// recoverExcess reduces a bucket for one window after overcommitted buckets met a
// demand far above the rate, to recover what they admitted in excess.
func (l *Limiter) recoverExcess(now time.Time, organisation brfleet.Organisation, a *account) {
	fleetDemand := l.fleetStatus.Demand(organisation.Name())
	if a.overcommitted && fleetDemand-2*math.Sqrt(fleetDemand) > recoveryThreshold*organisation.Rate() {
		a.recoveryEnd = now.Add(l.bounds.QuotaWindow())
		a.overcommitted = false
	}
	if now.Before(a.recoveryEnd) {
		a.rate *= recoveryFactor
		a.depth *= recoveryFactor
	}
}

// remaining returns the requests that a window allows on all VMs together beyond the
// given fraction of the rate.
func (l *Limiter) remaining(organisation brfleet.Organisation, load float64) float64 {
	window := l.bounds.QuotaWindow().Seconds()
	allowed := (organisation.Rate()*window+organisation.Burst())*(1+l.bounds.QuotaOverage()) + l.bounds.QuotaSlack()
	return math.Max(windowUtilisation*allowed-load*organisation.Rate()*window, 0)
}

// ReportDemands returns the demand on this VM in requests per second by organisation, and
// records it as reported now.
func (l *Limiter) ReportDemands(now time.Time) map[string]float64 {
	demands := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		demand := a.demandAt(now)
		copy(a.reports[1:], a.reports[:])
		a.reports[0] = report{at: now, demand: demand}
		if demand >= minReportedDemand {
			demands[name] = demand
		}
	}
	return demands
}
