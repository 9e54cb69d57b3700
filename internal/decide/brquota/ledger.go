// Package brquota decides which requests of an organisation are within its quota.
//
// The quota is fleet-wide: it bounds the requests that all VMs together admit in any
// sliding window. Each VM meters an organisation with a leaky bucket whose drain rate
// and depth follow the demand on the whole fleet. While an organisation demands less
// than its rate, the buckets are deep, so that small bursts are admitted on any VM;
// the depths over all VMs add up to what the window still allows. Once its demand
// reaches the quota, the rate is divided among the VMs in proportion to demand, and
// requests admitted through deeper buckets count against the new depth.
//
// A fraction of each quota is pooled in one bucket per region, on the VM that
// aggregates the demand reports of that region. A VM whose own bucket is full asks
// that VM for a token before it refuses a request.
//
// The other VMs reserve an equal share for each VM that they receive no reports from.
// A VM that receives no reports itself uses no more than that equal share.
//
// # Usage
//
//	ledger := brquota.NewLedger(now, bounds, rand.Float64)
//	ledger.Divide(now, standing, vms, listed)
//	if ruling := ledger.Admit(now, organisation); !ruling.Admitted() {
//		// ask the lending VM of the region, which calls
//		// ledger.Lead(now, region) and ledger.Lend(now, organisation);
//		// otherwise refuse, with ruling.Wait() as the retry delay
//	}
package brquota

import (
	"math"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brstanding"
)

const (
	// usable is the fraction of a window's allowance that is handed out. The rest is a
	// margin for requests in flight and for aggregates that are up to a second old.
	usable = 0.94
	// expected is a demand, as a fraction of the rate, that is assumed for all VMs
	// together in addition to the measured one, so that a VM without measured demand
	// can admit its first callers immediately.
	expected = 0.25
	// calm is the fraction of its rate up to which an organisation counts as
	// underloaded. An underloaded organisation may use calmRoom times its demand.
	calm     = 0.85
	calmRoom = 2
	// leastRoom and mostRoom bound what an underloaded organisation may use, as
	// fractions of its rate. calmExpected replaces the assumed demand for it.
	leastRoom    = 0.7
	mostRoom     = 1.5
	calmExpected = 0.3
	// runs and runTime bound the depth of a bucket while an organisation is
	// underloaded: a number of requests for random bursts, plus the requests that
	// arrive within runTime.
	runs    = 4
	runTime = 1200 * time.Millisecond
	// leastDepth is the minimum depth of a bucket while an organisation is
	// underloaded, even where the depths then add up to more than the window allows:
	// with many VMs and a small rate, nearly every caller would be refused otherwise.
	// If demand then rises above pressing times the rate, the excess that such buckets
	// admitted is recovered: for one window the organisation gets only the fraction
	// repaying of its rate.
	leastDepth = 2
	repaying   = 0.3
	pressing   = 1.5
	// pooled is the fraction of each quota that the VMs of a region share in one
	// bucket. It absorbs random bursts at a single VM, for which otherwise the bucket
	// of every VM would have to be as deep.
	pooled = 0.35
	// standingLifetime is the age above which the fleet's demand is no longer used.
	standingLifetime = 2 * time.Second
	// demandHalfLife is the half-life of a VM's moving average of demand.
	demandHalfLife = 1200 * time.Millisecond
	// reportAge is how much older than the fleet's demand the reports in it are: the
	// time that they take to the aggregating VM of the region and on to other regions.
	// A VM computes its share from figures of the same time. With a newer figure of
	// its own it would overestimate its share while demand grows on all VMs.
	reportAge  = 800 * time.Millisecond
	maxReports = 16
	// startBurst and startSlack are the fractions of the burst and of the quota's slack
	// that all VMs together admit when they start.
	startBurst = 0.3
	startSlack = 0.5
	// leastDemand is the demand, in requests per second, below which none is reported.
	leastDemand = 0.01
	// shortestWait and longestWait bound the retry delay of a refused caller.
	shortestWait = 200 * time.Millisecond
	longestWait  = 2 * time.Second
)

// Ledger holds this VM's buckets for the quotas of all organisations. It is not safe
// for concurrent use.
type Ledger struct {
	bounds   brfleet.Bounds
	accounts map[string]*account
	standing brstanding.Standing
	at       time.Time
	vms      int
	listed   bool
	random   func() float64
	started  time.Time
	pool     pool
}

// bucket is a leaky bucket that counts admitted requests.
type bucket struct {
	owed   float64 // admitted requests that have not drained yet
	rate   float64 // drain rate in requests per second
	depth  float64 // requests
	offset float64 // in [0, 1); rounds the depth up on some VMs and down on others
	filled time.Time
}

// makeUp drains the bucket for the time since the last call.
func (b *bucket) makeUp(now time.Time) {
	elapsed := now.Sub(b.filled).Seconds()
	b.filled = now
	b.owed = math.Max(b.owed-elapsed*b.rate, 0)
}

// room returns the number of requests that the bucket can admit now.
func (b *bucket) room() float64 { return math.Floor(b.depth+b.offset) - b.owed }

// account is the state of one organisation on this VM.
type account struct {
	bucket
	demand float64 // requests per second, as of seen
	seen   time.Time
	repays time.Time          // end of the recovery from an overcommitted window
	loose  bool               // the depths of all VMs add up to more than the window allows
	new    bool               // created in the first window after this VM started
	told   [maxReports]report // newest first
}

// report is the demand on this VM at a point in time.
type report struct {
	at     time.Time
	demand float64 // requests per second
}

// NewLedger returns the ledger of a VM that starts now and has received no reports yet.
// random must return numbers in [0, 1).
func NewLedger(now time.Time, bounds brfleet.Bounds, random func() float64) *Ledger {
	return &Ledger{bounds: bounds, accounts: map[string]*account{}, vms: 1, random: random, started: now}
}

// Divide sets the demand on the whole fleet as of the given time, the number of VMs
// that share the quotas, and whether the demand on this VM is included in it.
func (l *Ledger) Divide(at time.Time, standing brstanding.Standing, vms int, listed bool) {
	l.standing = standing
	l.at = at
	l.vms = max(vms, 1)
	l.listed = listed
}

// Ruling is the decision on a request with the figures behind it. It is immutable.
type Ruling struct {
	admitted bool
	wait     time.Duration
	rate     float64
	depth    float64
	owed     float64
	asked    float64
	asOf     time.Time
	lender   string
	silent   bool // the lender did not respond
}

// WithGrant returns the ruling with the response of the lending VM.
func (r Ruling) WithGrant(lender string, granted bool, wait time.Duration) Ruling {
	r.lender = lender
	r.admitted = granted
	r.wait = max(wait, shortestWait)
	return r
}

// WithSilentLender returns the ruling for a lending VM that did not respond.
func (r Ruling) WithSilentLender(lender string) Ruling {
	r.lender = lender
	r.silent = true
	return r
}

// Lender returns the VM that was asked for a token, or "".
func (r Ruling) Lender() string { return r.lender }

// LenderSilent reports whether that VM did not respond.
func (r Ruling) LenderSilent() bool { return r.silent }

// Admitted reports whether the request is within the quota.
func (r Ruling) Admitted() bool { return r.admitted }

// Wait returns the retry delay of a refused request.
func (r Ruling) Wait() time.Duration { return r.wait }

// Rate returns the drain rate of this VM's bucket in requests per second.
func (r Ruling) Rate() float64 { return r.rate }

// Depth returns the depth of this VM's bucket in requests.
func (r Ruling) Depth() float64 { return r.depth }

// Owed returns the level of this VM's bucket: admitted requests that had not drained.
func (r Ruling) Owed() float64 { return r.owed }

// Asked returns the demand on the whole fleet in requests per second, as far as this
// VM knows.
func (r Ruling) Asked() float64 { return r.asked }

// AsOf returns the time of that demand.
func (r Ruling) AsOf() time.Time { return r.asOf }

// Admit decides on one request against this VM's own bucket.
func (l *Ledger) Admit(now time.Time, organisation brfleet.Organisation) Ruling {
	if !organisation.Limited() {
		return Ruling{admitted: true}
	}
	a := l.account(now, organisation)
	a.count(now)
	a.makeUp(now)
	l.divide(now, organisation, a)
	if a.new && now.Sub(l.started) >= l.bounds.QuotaWindow() {
		a.new = false
		a.owed = math.Min(a.owed, a.afterStart())
	}
	return l.rule(organisation, &a.bucket)
}

// rule admits a request if the bucket has room for it.
func (l *Ledger) rule(organisation brfleet.Organisation, b *bucket) Ruling {
	ruling := Ruling{rate: b.rate, depth: b.depth, owed: b.owed, asked: l.standing.Demand(organisation.Name()), asOf: l.at}
	room := b.room()
	if room >= 1 {
		b.owed++
		ruling.admitted = true
		return ruling
	}
	ruling.wait = waitFor(ruling, organisation, room)
	return ruling
}

// waitFor returns the retry delay for a refused caller.
func waitFor(ruling Ruling, organisation brfleet.Organisation, room float64) time.Duration {
	// While demand exceeds the rate, the same proportion of retries is refused again, so
	// the delay grows with the overload.
	pressure := math.Max(ruling.asked/organisation.Rate(), 1)
	wait := time.Duration(pressure * (1 - room) / math.Max(ruling.rate, leastDemand) * float64(time.Second))
	return min(max(wait, time.Duration(pressure*float64(shortestWait))), longestWait)
}

// Refund returns the token of a request that did not run.
func (l *Ledger) Refund(organisation string) {
	if a, ok := l.accounts[organisation]; ok {
		a.owed = math.Max(a.owed-1, 0)
	}
}

// account returns the account of an organisation. In the first window after the VM
// starts, a new account has hardly any room, since it is unknown how many requests were
// admitted just before the start.
func (l *Ledger) account(now time.Time, organisation brfleet.Organisation) *account {
	a, ok := l.accounts[organisation.Name()]
	if !ok {
		a = &account{bucket: bucket{filled: now, offset: l.random()}, seen: now, new: now.Sub(l.started) < l.bounds.QuotaWindow()}
		l.accounts[organisation.Name()] = a
		if !a.new {
			return a
		}
		l.divide(now, organisation, a)
		a.owed = math.Floor(a.depth + a.offset)
		if l.random() < (startBurst*organisation.Burst()+startSlack*l.bounds.QuotaSlack())/float64(l.vms) {
			a.owed = math.Max(a.owed-1, 0)
		}
	}
	return a
}

// afterStart returns the maximum level after the VM's first window. It is 0, but where
// the depths of all VMs overcommit the window, a bucket starts with room for one request
// and drains gradually.
func (a *account) afterStart() float64 {
	if !a.loose {
		return 0
	}
	return math.Max(math.Floor(a.depth+a.offset)-1, 0)
}

// count adds a request, admitted or not, to the measured demand.
func (a *account) count(now time.Time) {
	a.demand = a.demandAt(now) + math.Ln2/demandHalfLife.Seconds()
	a.seen = now
}

func (a *account) demandAt(now time.Time) float64 {
	return a.demand * math.Exp2(-float64(now.Sub(a.seen))/float64(demandHalfLife))
}

// reported returns the demand in the newest report that is not after the given time.
func (a *account) reported(at time.Time) float64 {
	for _, r := range a.told {
		if !r.at.After(at) {
			return r.demand
		}
	}
	return 0
}

// divide sets the rate and depth of this VM's own bucket.
func (l *Ledger) divide(now time.Time, organisation brfleet.Organisation, a *account) {
	vms, rate := float64(l.vms), organisation.Rate()
	if l.deaf(now) {
		a.rate = rate / vms
		a.depth = l.spare(organisation, 1) / vms
		return
	}
	p := l.partOf(organisation, a.reported(l.at.Add(-reportAge)), 1)
	if !p.calm() {
		a.rate = (1 - pooled) * p.pressedRate()
		a.depth = (1 - pooled) * l.spare(organisation, 1) * p.weight(expected)
		l.repay(now, organisation, a)
		return
	}
	spare := (1 - pooled) * l.spare(organisation, p.used()) * p.weight(calmExpected)
	most := runs + math.Max(p.own, p.total*p.weight(calmExpected))*runTime.Seconds()
	a.rate = (1 - pooled) * p.calmRate()
	a.depth = math.Max(math.Min(spare, most), leastDepth)
	a.loose = spare < leastDepth
}

// deaf reports whether the fleet's demand is too old to use.
func (l *Ledger) deaf(now time.Time) bool { return now.Sub(l.at) > standingLifetime }

// part is the demand of an organisation on a group of VMs, set against its demand on
// all VMs.
type part struct {
	own    float64 // requests per second on the group
	total  float64 // requests per second on all VMs
	rate   float64 // quota of the organisation in requests per second
	count  float64 // size of the group as a fraction of all VMs
	listed bool    // the other VMs know the demand on the group
}

// partOf returns the part of a group of count VMs with the given demand.
func (l *Ledger) partOf(organisation brfleet.Organisation, own float64, count int) part {
	vms := float64(l.vms)
	heard := math.Max(math.Min(float64(len(l.standing.Members()))/vms, 1), 1/vms)
	return part{
		own: own, total: math.Max(l.standing.Demand(organisation.Name())/heard, own), rate: organisation.Rate(),
		count: float64(count) / vms, listed: l.listed,
	}
}

// calm reports whether the organisation is underloaded. Demand is measured over about a
// second, so its square root is subtracted as the random deviation.
func (p part) calm() bool { return p.total-math.Sqrt(p.total) <= calm*p.rate }

func (p part) used() float64 { return p.total / p.rate }

// weight returns the group's fraction of the quota. granted is an assumed demand, as a
// fraction of the rate, that is spread equally over all VMs. VMs whose reports the
// others don't receive use at most the equal share that the others reserve for them.
func (p part) weight(granted float64) float64 {
	weight := (p.own + granted*p.rate*p.count) / (p.total + granted*p.rate)
	if !p.listed {
		return math.Min(weight, p.count)
	}
	return weight
}

func (p part) pressedRate() float64 { return p.rate * p.weight(expected) }

func (p part) calmRate() float64 {
	return p.rate * p.weight(calmExpected) * math.Min(math.Max(calmRoom*p.used(), leastRoom), mostRoom)
}

// repay reduces a bucket for one window after overcommitted buckets met a demand far
// above the rate, to recover what they admitted in excess.
func (l *Ledger) repay(now time.Time, organisation brfleet.Organisation, a *account) {
	total := l.standing.Demand(organisation.Name())
	if a.loose && total-2*math.Sqrt(total) > pressing*organisation.Rate() {
		a.repays = now.Add(l.bounds.QuotaWindow())
		a.loose = false
	}
	if now.Before(a.repays) {
		a.rate *= repaying
		a.depth *= repaying
	}
}

// spare returns the requests that a window allows on all VMs together beyond the given
// fraction of the rate.
func (l *Ledger) spare(organisation brfleet.Organisation, used float64) float64 {
	window := l.bounds.QuotaWindow().Seconds()
	allowed := (organisation.Rate()*window+organisation.Burst())*(1+l.bounds.QuotaOverage()) + l.bounds.QuotaSlack()
	return math.Max(usable*allowed-used*organisation.Rate()*window, 0)
}

// Demands returns the demand on this VM in requests per second by organisation, and
// records it as reported now.
func (l *Ledger) Demands(now time.Time) map[string]float64 {
	demands := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		demand := a.demandAt(now)
		copy(a.told[1:], a.told[:])
		a.told[0] = report{at: now, demand: demand}
		if demand >= leastDemand {
			demands[name] = demand
		}
	}
	return demands
}
