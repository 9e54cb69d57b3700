package soak

import (
	"sync"
	"time"
)

const (
	// pulse is the interval at which the harness checks whether it was itself starved
	// of processor time.
	pulse = 20 * time.Millisecond
	// heldUp is the length of a stall of the harness from which everything counts as
	// disturbed.
	heldUp = 250 * time.Millisecond
	// anything is the name under which a disturbance applies to every VM and server
	// and to the store.
	anything = "*"
	theStore = "store"
)

type span struct {
	from, until time.Time
}

func (s span) meets(from, until time.Time) bool { return s.from.Before(until) && s.until.After(from) }

// calm records which VMs and servers were disturbed by faults, and when, so that
// checks can exclude these times.
type calm struct {
	mutex   sync.Mutex
	spans   map[string][]span
	plans   map[string][]span
	again   map[string][]time.Time // times of second stop signals, by VM
	heldUps int
}

func newCalm() *calm {
	return &calm{spans: map[string][]span{}, plans: map[string][]span{}, again: map[string][]time.Time{}}
}

// stopAgain records a second stop signal to a VM that is already stopping.
func (c *calm) stopAgain(name string, at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.again[name] = append(c.again[name], at)
}

// stoppedAgain reports whether a VM got a second stop signal within a span.
func (c *calm) stoppedAgain(name string, from, until time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, at := range c.again[name] {
		if !at.Before(from) && !at.After(until) {
			return true
		}
	}
	return false
}

// disturb records a disturbance of a VM, a server, the store or anything.
func (c *calm) disturb(name string, from, until time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.spans[name] = append(c.spans[name], span{from: from, until: until})
}

// plan records planned work at a VM, such as a restart or a change of its settings.
func (c *calm) plan(name string, from, until time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.plans[name] = append(c.plans[name], span{from: from, until: until})
}

func (c *calm) is(name string, from, until time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, n := range []string{name, anything} {
		for _, s := range c.spans[n] {
			if s.meets(from, until) {
				return false
			}
		}
	}
	return true
}

// vm reports whether nothing disturbed a VM from contactTime before a span until its end.
func (c *calm) vm(name string, from, until time.Time) bool {
	return c.is(name, from.Add(-contactTime), until)
}

// server reports whether nothing disturbed a backend server in a span.
func (c *calm) server(id string, from, until time.Time) bool { return c.is(id, from, until) }

// both reports whether nothing disturbed a VM or the store from contactTime before a
// span until its end, and there was no planned work at the VM either.
func (c *calm) both(name string, from, until time.Time) bool {
	return c.vm(name, from, until) && c.vm(theStore, from, until) && !c.planned(name, from.Add(-contactTime), until)
}

// planned reports whether there was planned work at a VM within a span.
func (c *calm) planned(name string, from, until time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, s := range c.plans[name] {
		if s.meets(from, until) {
			return true
		}
	}
	return false
}

// goneFor returns how long ago the last disturbance of a VM began.
func (c *calm) goneFor(name string, now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	spans := c.spans[name]
	if len(spans) == 0 {
		return 0
	}
	return now.Sub(spans[len(spans)-1].from)
}

// watch records a disturbance of everything while the harness itself gets no
// processor time, since its VMs are then starved too and miss their deadlines.
func (c *calm) watch(stop <-chan struct{}) {
	last := time.Now()
	ticker := time.NewTicker(pulse)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(last) > heldUp {
			c.disturb(anything, last, now)
			c.mutex.Lock()
			c.heldUps++
			c.mutex.Unlock()
		}
		last = now
	}
}
