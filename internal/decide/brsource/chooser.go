// Package brsource selects the source from which a VM gets the records of the
// store: the store itself, or another VM that has read it.
//
// The VMs of a region are ordered by name, so that all of them agree on the order
// without communication. The first working VM reads the store and the others follow
// it. A VM whose source fails or has outdated records asks the next VM in the order,
// which then reads the store at once. If that VM doesn't become fresh soon, the
// asking VM also reads the store itself. A VM that the store rejects follows any
// fresh VM, including those of other regions. While no VM is fresh, a VM continues
// to report to the first live VM, so that it remains known which VMs are alive.
//
// # Usage
//
//	chooser := brsource.New(self)
//	plan := chooser.Plan(now, vms, storeWorks)
//	if vm, asks := plan.VM(); asks {
//		// ask vm for records
//		chooser.Observe(now, vm, brsource.Fresh)
//	}
//	if plan.Reads() {
//		// read the store
//	}
package brsource

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
)

const (
	// retryDelay is the time for which a VM that did not answer is not asked
	// again. It doubles with each consecutive failure, up to maxRetryDelay.
	retryDelay    = 2 * time.Second
	maxRetryDelay = 8 * time.Second
	// staleDelay is the time for which a VM whose records were outdated is ranked
	// after others.
	staleDelay = 4 * time.Second
	// freshFor is the time for which a source that was fresh is assumed to be fresh.
	freshFor = time.Second
	// probeDuration is how long a VM that can't read the store probes it while it
	// follows another VM, and probeInterval is the time between two probes.
	probeDuration = 1200 * time.Millisecond
	probeInterval = 6 * time.Second
	// takeoverDelay is how long a VM that has lost its source waits for a preceding
	// VM, which lost it too, to read the store. It covers the difference between the
	// times at which two VMs notice the loss, and is short enough to keep the age of
	// the records acceptable to operators.
	takeoverDelay = 350 * time.Millisecond
)

// Outcome is the outcome of asking a VM for records.
type Outcome int

// The possible outcomes.
const (
	// Fresh means that the VM has the current records of the store.
	Fresh Outcome = iota
	// Stale means that the VM answered but its records are outdated.
	Stale
	// Failed means that the VM did not answer.
	Failed
)

// Plan says which sources to use next. It is immutable.
type Plan struct {
	vm    brfleet.VM
	asks  bool
	waits bool
	reads bool
	leads bool
}

// VM returns the VM to ask for records, and whether there is one.
func (p Plan) VM() (brfleet.VM, bool) { return p.vm, p.asks }

// MayWait reports whether the asked VM may wait for new records before it answers.
func (p Plan) MayWait() bool { return p.waits }

// Reads reports whether this VM reads the store itself.
func (p Plan) Reads() bool { return p.reads }

// Leads reports whether the other VMs of the region report to this one.
func (p Plan) Leads() bool { return p.leads }

// Chooser selects the source of a VM. It is not safe for concurrent use.
type Chooser struct {
	self      brfleet.VM
	peers     map[string]*peerState
	source    string // the VM that was last fresh
	freshAt   time.Time
	lostAt    time.Time // when the latest source was lost
	probeEnd  time.Time
	nextProbe time.Time
	alternate bool // toggled by each plan, so that every other plan asks a stale VM
}

// peerState is the state of another VM as a source.
type peerState struct {
	avoidedUntil time.Time
	failures     int
	staleUntil   time.Time
	askedAt      time.Time
}

// New returns a chooser for a VM.
func New(self brfleet.VM) *Chooser {
	return &Chooser{self: self, peers: map[string]*peerState{}}
}

// Plan returns the next plan. vms are the registered VMs ordered by name, and
// storeWorks reports whether this VM's own reads of the store succeed.
func (c *Chooser) Plan(now time.Time, vms []brfleet.VM, storeWorks bool) Plan {
	c.alternate = !c.alternate
	if successor, ok := c.successor(now, vms); ok && c.awaitsTakeover(now) && !storeWorks {
		return Plan{vm: successor, asks: true}
	}
	preferred, found := c.preferred(now, vms)
	following := now.Sub(c.freshAt) <= freshFor
	switch {
	case found && (!c.stale(now, preferred) || (!storeWorks && c.alternate && !following)):
		return Plan{vm: preferred, asks: true, waits: c.waits(preferred), reads: !following}
	case storeWorks:
		return Plan{reads: true, leads: true}
	}
	plan := Plan{reads: !following || c.probes(now), leads: !found && !following}
	plan.vm, plan.asks = c.fallback(now, vms)
	plan.waits = plan.asks && c.waits(plan.vm)
	return plan
}

// awaitsTakeover reports whether this VM lost its source less than takeoverDelay ago.
func (c *Chooser) awaitsTakeover(now time.Time) bool { return now.Sub(c.lostAt) < takeoverDelay }

// waits reports whether a VM is the current source. Only the current source may wait
// for new records before it answers.
func (c *Chooser) waits(vm brfleet.VM) bool { return vm.Name() == c.source }

// successor returns the first VM before this one in the region that is not avoided. It
// reads the store in place of a lost source.
func (c *Chooser) successor(now time.Time, vms []brfleet.VM) (brfleet.VM, bool) {
	for _, vm := range vms {
		if c.precedes(vm) && !c.avoided(now, vm) {
			return vm, true
		}
	}
	return brfleet.VM{}, false
}

// preferred returns the first VM before this one in the region that is neither avoided
// nor stale, or else the first that is not avoided.
func (c *Chooser) preferred(now time.Time, vms []brfleet.VM) (brfleet.VM, bool) {
	for _, vm := range vms {
		if c.precedes(vm) && !c.avoided(now, vm) && !c.stale(now, vm) {
			return vm, true
		}
	}
	return c.successor(now, vms)
}

// precedes reports whether a VM is in the same region and before this one in the
// order.
func (c *Chooser) precedes(vm brfleet.VM) bool {
	return vm.Region() == c.self.Region() && vm.Name() < c.self.Name()
}

// fallback returns a VM that may have the store's records, for use while neither a
// preceding VM nor the store itself provides them: the current source, then any VM
// of the region, then any other VM.
func (c *Chooser) fallback(now time.Time, vms []brfleet.VM) (brfleet.VM, bool) {
	for _, vm := range vms {
		if vm.Name() == c.source && now.Sub(c.freshAt) <= freshFor {
			return vm, true
		}
	}
	for _, inOwnRegion := range []bool{true, false} {
		for _, vm := range vms {
			sameRegion := vm.Region() == c.self.Region()
			if sameRegion == inOwnRegion && vm.Name() != c.self.Name() && !c.avoided(now, vm) && !c.stale(now, vm) {
				return vm, true
			}
		}
	}
	return c.leastRecentlyAsked(vms)
}

// leastRecentlyAsked returns the VM that was asked longest ago. Where all VMs have failed
// or are stale, it is the one most likely to have recovered.
func (c *Chooser) leastRecentlyAsked(vms []brfleet.VM) (brfleet.VM, bool) {
	best, found := brfleet.VM{}, false
	for _, vm := range vms {
		if vm.Name() == c.self.Name() {
			continue
		}
		if !found || c.stateOf(vm).askedAt.Before(c.stateOf(best).askedAt) {
			best, found = vm, true
		}
	}
	return best, found
}

// probes reports whether this VM, which follows another one, probes the store now.
func (c *Chooser) probes(now time.Time) bool {
	if now.Before(c.probeEnd) {
		return true
	}
	if now.Before(c.nextProbe) {
		return false
	}
	c.probeEnd = now.Add(probeDuration)
	c.nextProbe = c.probeEnd.Add(probeInterval)
	return true
}

// Observe records the outcome of asking a VM.
func (c *Chooser) Observe(now time.Time, vm brfleet.VM, outcome Outcome) {
	s := c.stateOf(vm)
	s.askedAt = now
	switch outcome {
	case Fresh:
		*s = peerState{askedAt: now}
		if c.source != vm.Name() || now.Sub(c.freshAt) > freshFor {
			c.nextProbe = now.Add(probeInterval)
		}
		c.source, c.freshAt = vm.Name(), now
	case Stale:
		s.failures = 0
		s.staleUntil = now.Add(staleDelay)
		c.clearSource(now, vm)
	case Failed:
		s.avoidedUntil = now.Add(min(retryDelay<<min(s.failures, 4), maxRetryDelay))
		s.failures++
		c.clearSource(now, vm)
	}
}

// clearSource clears the current source if it is the given VM.
func (c *Chooser) clearSource(now time.Time, vm brfleet.VM) {
	if c.source == vm.Name() {
		c.source, c.freshAt, c.lostAt = "", time.Time{}, now
	}
}

// stateOf returns the state of a VM, which is created if needed.
func (c *Chooser) stateOf(vm brfleet.VM) *peerState {
	s, ok := c.peers[vm.Name()]
	if !ok {
		s = &peerState{}
		c.peers[vm.Name()] = s
	}
	return s
}

// avoided reports whether a VM failed so recently that it is not asked.
func (c *Chooser) avoided(now time.Time, vm brfleet.VM) bool {
	s, ok := c.peers[vm.Name()]
	return ok && now.Before(s.avoidedUntil)
}

// stale reports whether a VM recently answered with outdated records.
func (c *Chooser) stale(now time.Time, vm brfleet.VM) bool {
	s, ok := c.peers[vm.Name()]
	return ok && now.Before(s.staleUntil)
}
