// Package brsource selects the source from which a VM gets the records of the
// store: the store itself, or another VM that has read it.
//
// The VMs of a region are ordered by name, so that all of them agree on the order
// without communication. The first VM that works reads the store and the others
// follow it. A VM whose source fails or is behind asks the next VM in the order,
// which then reads the store at once; if that VM doesn't become fresh soon, the VM
// also reads the store itself. A VM that the store rejects follows any fresh VM,
// including those of other regions. While no VM is fresh, a VM keeps reporting to
// the first live VM, so that liveness remains known.
//
// # Usage
//
//	chooser := brsource.New(self)
//	plan := chooser.Plan(now, vms, storeWorks)
//	if vm, asks := plan.VM(); asks {
//		// ask vm for records
//		chooser.Told(now, vm, brsource.Fresh)
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
	// avoidance is the time for which a VM that did not answer is not asked
	// again. It doubles with each consecutive failure, up to longestAvoidance.
	avoidance        = 2 * time.Second
	longestAvoidance = 8 * time.Second
	// staleness is the time for which a VM that was behind is ranked after others.
	staleness = 4 * time.Second
	// trust is the time for which a source that was fresh is assumed to be fresh.
	trust = time.Second
	// storeTrial is how long a VM that follows another one probes whether the
	// store answers it again, and storePause the time between two probes.
	storeTrial = 1200 * time.Millisecond
	storePause = 6 * time.Second
	// patience is how long a VM that has lost its source waits for a VM before it
	// in the order, which lost it too, to read the store. It covers the difference
	// between the times at which two VMs notice the loss and is short enough to
	// keep the age of the records acceptable to operators.
	patience = 350 * time.Millisecond
)

// Report is the outcome of asking a VM for records.
type Report int

// The possible reports.
const (
	// Fresh means that the VM has the current records of the store.
	Fresh Report = iota
	// Stale means that the VM answered but its records are outdated.
	Stale
	// Failed means that the VM did not answer.
	Failed
)

// Plan tells which sources to use next. It is immutable.
type Plan struct {
	vm    brfleet.VM
	asks  bool
	waits bool
	reads bool
	leads bool
}

// VM returns the VM to ask for records, and whether there is one.
func (p Plan) VM() (brfleet.VM, bool) { return p.vm, p.asks }

// Waits reports whether the asked VM may wait for new records before it answers.
func (p Plan) Waits() bool { return p.waits }

// Reads reports whether this VM reads the store itself.
func (p Plan) Reads() bool { return p.reads }

// Leads reports whether the other VMs of the region report to this one.
func (p Plan) Leads() bool { return p.leads }

// Chooser selects the source of a VM. It is not safe for concurrent use.
type Chooser struct {
	self     brfleet.VM
	known    map[string]*standing
	source   string // the VM that was last fresh
	freshAt  time.Time
	lostAt   time.Time // when the last source was lost
	trialEnd time.Time
	nextTry  time.Time
	odd      bool
}

// standing is the state of another VM as a source.
type standing struct {
	avoidedTo time.Time
	failures  int
	staleTo   time.Time
	askedAt   time.Time
}

// New returns a chooser for a VM.
func New(self brfleet.VM) *Chooser {
	return &Chooser{self: self, known: map[string]*standing{}}
}

// Plan returns the next plan. vms are the registered VMs in their order, and
// storeWorks tells whether this VM's own reads of the store succeed.
func (c *Chooser) Plan(now time.Time, vms []brfleet.VM, storeWorks bool) Plan {
	c.odd = !c.odd
	if heir, ok := c.heir(now, vms); ok && c.patient(now) && !storeWorks {
		return Plan{vm: heir, asks: true}
	}
	better, found := c.better(now, vms)
	following := now.Sub(c.freshAt) <= trust
	switch {
	case found && (!c.stale(now, better) || (!storeWorks && c.odd && !following)):
		return Plan{vm: better, asks: true, waits: c.waits(better), reads: !following}
	case storeWorks:
		return Plan{reads: true, leads: true}
	}
	plan := Plan{reads: !following || c.tries(now), leads: !found && !following}
	plan.vm, plan.asks = c.other(now, vms)
	plan.waits = plan.asks && c.waits(plan.vm)
	return plan
}

// patient reports whether this VM lost its source less than patience ago.
func (c *Chooser) patient(now time.Time) bool { return now.Sub(c.lostAt) < patience }

// waits reports whether a VM is the current source; only that one may wait before
// it answers.
func (c *Chooser) waits(vm brfleet.VM) bool { return vm.Name() == c.source }

// heir returns the first VM before this one in the region that is not avoided. It
// reads the store in place of a lost source.
func (c *Chooser) heir(now time.Time, vms []brfleet.VM) (brfleet.VM, bool) {
	for _, vm := range vms {
		if c.precedes(vm) && !c.avoided(now, vm) {
			return vm, true
		}
	}
	return brfleet.VM{}, false
}

// better returns the first VM before this one in the region that is neither avoided
// nor stale, or else the first that is not avoided.
func (c *Chooser) better(now time.Time, vms []brfleet.VM) (brfleet.VM, bool) {
	for _, vm := range vms {
		if c.precedes(vm) && !c.avoided(now, vm) && !c.stale(now, vm) {
			return vm, true
		}
	}
	return c.heir(now, vms)
}

// precedes reports whether a VM is in the same region and before this one in the
// order.
func (c *Chooser) precedes(vm brfleet.VM) bool {
	return vm.Region() == c.self.Region() && vm.Name() < c.self.Name()
}

// other returns a VM that may have the store's records, for use while neither a
// preceding VM nor the store itself provides them: the current source, then any VM
// of the region, then any other VM.
func (c *Chooser) other(now time.Time, vms []brfleet.VM) (brfleet.VM, bool) {
	for _, vm := range vms {
		if vm.Name() == c.source && now.Sub(c.freshAt) <= trust {
			return vm, true
		}
	}
	for _, own := range []bool{true, false} {
		for _, vm := range vms {
			same := vm.Region() == c.self.Region()
			if same == own && vm.Name() != c.self.Name() && !c.avoided(now, vm) && !c.stale(now, vm) {
				return vm, true
			}
		}
	}
	return c.leastAvoided(vms)
}

// leastAvoided returns the VM that was asked longest ago. Where all VMs have failed
// or are stale, it is the one most likely to have recovered.
func (c *Chooser) leastAvoided(vms []brfleet.VM) (brfleet.VM, bool) {
	best, found := brfleet.VM{}, false
	for _, vm := range vms {
		if vm.Name() == c.self.Name() {
			continue
		}
		if !found || c.standing(vm).askedAt.Before(c.standing(best).askedAt) {
			best, found = vm, true
		}
	}
	return best, found
}

// tries reports whether a VM that follows another one probes the store now.
func (c *Chooser) tries(now time.Time) bool {
	if now.Before(c.trialEnd) {
		return true
	}
	if now.Before(c.nextTry) {
		return false
	}
	c.trialEnd = now.Add(storeTrial)
	c.nextTry = c.trialEnd.Add(storePause)
	return true
}

// Told records the outcome of asking a VM.
func (c *Chooser) Told(now time.Time, vm brfleet.VM, report Report) {
	s := c.standing(vm)
	s.askedAt = now
	switch report {
	case Fresh:
		*s = standing{askedAt: now}
		if c.source != vm.Name() || now.Sub(c.freshAt) > trust {
			c.nextTry = now.Add(storePause)
		}
		c.source, c.freshAt = vm.Name(), now
	case Stale:
		s.failures = 0
		s.staleTo = now.Add(staleness)
		c.lose(now, vm)
	case Failed:
		s.avoidedTo = now.Add(min(avoidance<<min(s.failures, 4), longestAvoidance))
		s.failures++
		c.lose(now, vm)
	}
}

// lose clears the current source if it is the given VM.
func (c *Chooser) lose(now time.Time, vm brfleet.VM) {
	if c.source == vm.Name() {
		c.source, c.freshAt, c.lostAt = "", time.Time{}, now
	}
}

func (c *Chooser) standing(vm brfleet.VM) *standing {
	s, ok := c.known[vm.Name()]
	if !ok {
		s = &standing{}
		c.known[vm.Name()] = s
	}
	return s
}

func (c *Chooser) avoided(now time.Time, vm brfleet.VM) bool {
	s, ok := c.known[vm.Name()]
	return ok && now.Before(s.avoidedTo)
}

func (c *Chooser) stale(now time.Time, vm brfleet.VM) bool {
	s, ok := c.known[vm.Name()]
	return ok && now.Before(s.staleTo)
}
