// Package brquota decides which requests of an organisation are within its quota.
//
// The quota holds over all VMs together, in each window of time. Each VM has a
// bucket, whose rate and depth follow what the whole fleet is asked. While an
// organisation asks less than its rate the buckets are deep, so that callers who
// turn up anywhere, a few at once, are let through; the depths over all VMs add
// up to what the window still allows. Once it presses its quota, the rate is
// divided by demand, and what was let through from deeper buckets is owed.
//
// A part of each quota lies in one bucket of each region, at the VM to which the
// others report. A VM whose own bucket is empty asks there before it refuses.
//
// What a VM that isn't heard might use is kept for it. A VM that hears nobody
// uses an equal part.
//
// # Usage
//
//	ledger := brquota.NewLedger(now, bounds, rand.Float64)
//	ledger.Divide(now, standing, vms)
//	if ruling := ledger.Admit(now, organisation); !ruling.Admitted() {
//		// ask the VM of the region that lends, which calls
//		// ledger.Lead(region) and ledger.Lend(now, organisation);
//		// else refuse; the caller may come back after ruling.Wait()
//	}
package brquota

import (
	"math"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brstanding"
)

const (
	// usable is the part of what a window allows that is used: the rest is for
	// requests on their way and for sums that are a second old.
	usable = 0.94
	// expected is the demand that is taken for granted of all VMs together, in
	// parts of a rate, so that a VM where callers turn up has something at once.
	expected = 0.25
	// calm is the part of its rate up to which an organisation is taken not to
	// press its quota, and calmRoom how many times its demand it may then use.
	calm     = 0.85
	calmRoom = 2
	// leastRoom and mostRoom are the least and most that it may use then, in parts
	// of its rate, and calmExpected is what is taken for granted.
	leastRoom    = 0.7
	mostRoom     = 1.5
	calmExpected = 0.3
	// runs and runTime are what a bucket holds at most while an organisation is
	// calm: some requests that come by chance at once, and those of some time.
	runs    = 4
	runTime = 1200 * time.Millisecond
	// leastDepth is what a bucket holds at least while an organisation is calm, also
	// where the depths then add up to more than a window spares: with many VMs and
	// a small rate nearly every caller would be refused else. What such buckets let
	// through when an organisation suddenly presses its quota is made up for: for
	// one window it gets no more than repaying of its rate.
	leastDepth = 2
	repaying   = 0.3
	pressing   = 1.5
	// pooled is the part of each quota that VMs lend others of their region out of
	// one bucket. It serves callers who by chance turn up at one VM at once, whose
	// own bucket would have to be as deep on every VM.
	pooled = 0.35
	// standingLifetime is the age at which the fleet's demand is void.
	standingLifetime = 2 * time.Second
	// demandHalfLife is the time in which a VM's measured demand follows a change.
	demandHalfLife = 1200 * time.Millisecond
	// reportAge is how much older than the fleet's demand the reports in it are:
	// the time that they take to a region's VM, and on to another region. A share
	// is made of numbers of the same moment: with a newer one of its own a VM
	// would think its share grows when all do.
	reportAge  = 800 * time.Millisecond
	maxReports = 16
	// startBurst and startSlack are the parts of a burst and of what the contract
	// tolerates that all VMs together let through as they start.
	startBurst = 0.3
	startSlack = 0.5
	// leastDemand is the demand, in requests a second, that is worth a report.
	leastDemand = 0.01
	// shortestWait and longestWait bound what a refused caller is told.
	shortestWait = 200 * time.Millisecond
	longestWait  = 2 * time.Second
)

// Ledger holds what this VM may use of each organisation's quota. It has one owner.
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

// bucket holds the requests that may be let through.
type bucket struct {
	owed   float64 // requests that were let through and not made up for
	rate   float64 // requests a second that are made up for
	depth  float64 // requests
	offset float64 // 0 up to 1: rounds the depth up on some VMs, down on others
	filled time.Time
}

// makeUp lets the time since the last call pass.
func (b *bucket) makeUp(now time.Time) {
	elapsed := now.Sub(b.filled).Seconds()
	b.filled = now
	b.owed = math.Max(b.owed-elapsed*b.rate, 0)
}

// room returns the requests that the bucket lets through now.
func (b *bucket) room() float64 { return math.Floor(b.depth+b.offset) - b.owed }

// account is this VM's own part of an organisation's quota.
type account struct {
	bucket
	demand float64 // requests a second
	seen   time.Time
	repays time.Time          // end of the time in which what was let through is made up for
	loose  bool               // the depths of all VMs add up to more than a window spares
	new    bool               // opened in the first window of the VM
	told   [maxReports]report // newest first
}

// report is a VM's demand at a moment.
type report struct {
	at     time.Time
	demand float64 // requests a second
}

// NewLedger returns the ledger of a VM that starts now and knows of no other. The
// function returns random numbers from 0 up to 1.
func NewLedger(now time.Time, bounds brfleet.Bounds, random func() float64) *Ledger {
	return &Ledger{bounds: bounds, accounts: map[string]*account{}, vms: 1, random: random, started: now}
}

// Divide takes the demand of the whole fleet as of a moment, the number of VMs
// that may use a part of it, and whether this VM's own demand is in it.
func (l *Ledger) Divide(at time.Time, standing brstanding.Standing, vms int, listed bool) {
	l.standing = standing
	l.at = at
	l.vms = max(vms, 1)
	l.listed = listed
}

// Ruling says whether a request is let through, and what decided it. It is immutable.
type Ruling struct {
	admitted bool
	wait     time.Duration
	rate     float64
	depth    float64
	owed     float64
	asked    float64
	asOf     time.Time
	lender   string
	silent   bool // the lender gave no answer
}

// WithGrant returns the ruling after another VM was asked to lend.
func (r Ruling) WithGrant(lender string, granted bool, wait time.Duration) Ruling {
	r.lender = lender
	r.admitted = granted
	r.wait = max(wait, shortestWait)
	return r
}

// WithSilentLender returns the ruling after another VM was asked to lend and gave
// no answer.
func (r Ruling) WithSilentLender(lender string) Ruling {
	r.lender = lender
	r.silent = true
	return r
}

// Lender returns the VM that was asked to lend, or "".
func (r Ruling) Lender() string { return r.lender }

// LenderSilent reports whether that VM gave no answer.
func (r Ruling) LenderSilent() bool { return r.silent }

// Admitted reports whether the request is let through.
func (r Ruling) Admitted() bool { return r.admitted }

// Wait returns the time after which another try may be let through.
func (r Ruling) Wait() time.Duration { return r.wait }

// Rate returns the rate of this VM's bucket, in requests a second.
func (r Ruling) Rate() float64 { return r.rate }

// Depth returns the depth of this VM's bucket, in requests.
func (r Ruling) Depth() float64 { return r.depth }

// Owed returns the requests that were let through and not made up for.
func (r Ruling) Owed() float64 { return r.owed }

// Asked returns the demand on the whole fleet, in requests a second, as this VM
// knows it.
func (r Ruling) Asked() float64 { return r.asked }

// AsOf returns the moment of that demand.
func (r Ruling) AsOf() time.Time { return r.asOf }

// Admit rules on one request.
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

// rule lets a request through if a bucket has room for it.
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

// waitFor returns when a caller that is refused should come back.
func waitFor(ruling Ruling, organisation brfleet.Organisation, room float64) time.Duration {
	// Of those who come back while more is asked than may run, as many are refused again.
	pressure := math.Max(ruling.asked/organisation.Rate(), 1)
	wait := time.Duration(pressure * (1 - room) / math.Max(ruling.rate, leastDemand) * float64(time.Second))
	return min(max(wait, time.Duration(pressure*float64(shortestWait))), longestWait)
}

// Refund takes back a request that did not run.
func (l *Ledger) Refund(organisation string) {
	if a, ok := l.accounts[organisation]; ok {
		a.owed = math.Max(a.owed-1, 0)
	}
}

// account returns the bucket of an organisation. In a VM's first window a new one
// is empty: it can't know what was let through just before.
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

// afterStart returns what is owed at most after the VM's first window: nothing,
// but where buckets are loose they fill up by and by.
func (a *account) afterStart() float64 {
	if !a.loose {
		return 0
	}
	return math.Max(math.Floor(a.depth+a.offset)-1, 0)
}

// count takes note of a request, let through or not.
func (a *account) count(now time.Time) {
	a.demand = a.demandAt(now) + math.Ln2/demandHalfLife.Seconds()
	a.seen = now
}

func (a *account) demandAt(now time.Time) float64 {
	return a.demand * math.Exp2(-float64(now.Sub(a.seen))/float64(demandHalfLife))
}

// reported returns the demand as it was reported up to a moment.
func (a *account) reported(at time.Time) float64 {
	for _, r := range a.told {
		if !r.at.After(at) {
			return r.demand
		}
	}
	return 0
}

// divide sets the rate and the depth of this VM's own bucket.
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

// deaf reports whether this VM has not heard of the fleet for long.
func (l *Ledger) deaf(now time.Time) bool { return now.Sub(l.at) > standingLifetime }

// part is what some VMs are asked by an organisation, beside what all are.
type part struct {
	own    float64 // requests a second that these VMs are asked
	total  float64 // requests a second that all VMs are asked
	rate   float64 // the organisation's
	count  float64 // of these VMs, in parts of all
	listed bool    // the others know what these VMs are asked
}

// partOf returns the part of some VMs.
func (l *Ledger) partOf(organisation brfleet.Organisation, own float64, count int) part {
	vms := float64(l.vms)
	heard := math.Max(math.Min(float64(len(l.standing.Members()))/vms, 1), 1/vms)
	return part{
		own: own, total: math.Max(l.standing.Demand(organisation.Name())/heard, own), rate: organisation.Rate(),
		count: float64(count) / vms, listed: l.listed,
	}
}

// calm reports whether the organisation keeps away from its quota. The demand is
// measured over about a second: chance adds its square root.
func (p part) calm() bool { return p.total-math.Sqrt(p.total) <= calm*p.rate }

func (p part) used() float64 { return p.total / p.rate }

// weight returns the part of the quota. Each VM counts as if it were asked a
// little more than it is. VMs that the others don't hear use an equal part at
// most, which the others keep for them.
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

// repay makes a bucket smaller while what loose buckets let through is made up for.
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

// spare returns the requests that a window allows all VMs beyond a part of the rate.
func (l *Ledger) spare(organisation brfleet.Organisation, used float64) float64 {
	window := l.bounds.QuotaWindow().Seconds()
	allowed := (organisation.Rate()*window+organisation.Burst())*(1+l.bounds.QuotaOverage()) + l.bounds.QuotaSlack()
	return math.Max(usable*allowed-used*organisation.Rate()*window, 0)
}

// Demands returns what callers ask of this VM, in requests a second, by
// organisation, for its next report.
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
