package soak

import (
	"sync"
	"time"
)

const (
	// stallCheckInterval is the interval at which the harness checks whether it was itself
	// starved of processor time.
	stallCheckInterval = 20 * time.Millisecond
	// stallThreshold is the length of a stall of the harness above which everything counts
	// as disturbed.
	stallThreshold = 250 * time.Millisecond
	// everything is the name under which a disturbance applies to every VM and server
	// and to the store.
	everything = "*"
	storeName  = "store"
)

type span struct {
	from, until time.Time
}

func (s span) overlaps(from, until time.Time) bool {
	return s.from.Before(until) && s.until.After(from)
}

// disturbances records which VMs and servers were disturbed by faults, and when, so that
// checks can exclude these times.
type disturbances struct {
	mutex       sync.Mutex
	disturbed   map[string][]span
	plannedWork map[string][]span
	stalls      int
}

func newDisturbances() *disturbances {
	return &disturbances{disturbed: map[string][]span{}, plannedWork: map[string][]span{}}
}

// add records a disturbance of a VM, a server, the store or everything.
func (d *disturbances) add(name string, from, until time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.disturbed[name] = append(d.disturbed[name], span{from: from, until: until})
}

// addPlannedWork records planned work at a VM, such as a restart or a change of its settings.
func (d *disturbances) addPlannedWork(name string, from, until time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.plannedWork[name] = append(d.plannedWork[name], span{from: from, until: until})
}

func (d *disturbances) undisturbed(name string, from, until time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, n := range []string{name, everything} {
		for _, s := range d.disturbed[n] {
			if s.overlaps(from, until) {
				return false
			}
		}
	}
	return true
}

// vmUndisturbed reports whether nothing disturbed a VM from contactTime before a span
// until its end.
func (d *disturbances) vmUndisturbed(name string, from, until time.Time) bool {
	return d.undisturbed(name, from.Add(-contactTime), until)
}

// serverUndisturbed reports whether nothing disturbed a backend server in a span.
func (d *disturbances) serverUndisturbed(id string, from, until time.Time) bool {
	return d.undisturbed(id, from, until)
}

// vmAndStoreUndisturbed reports whether nothing disturbed a VM or the store from
// contactTime before a span until its end, and there was no planned work at the VM.
func (d *disturbances) vmAndStoreUndisturbed(name string, from, until time.Time) bool {
	return d.vmUndisturbed(name, from, until) && d.vmUndisturbed(storeName, from, until) && !d.hadPlannedWork(name, from.Add(-contactTime), until)
}

// hadPlannedWork reports whether there was planned work at a VM within a span.
func (d *disturbances) hadPlannedWork(name string, from, until time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, s := range d.plannedWork[name] {
		if s.overlaps(from, until) {
			return true
		}
	}
	return false
}

// sinceLast returns how long ago the last disturbance of a VM began.
func (d *disturbances) sinceLast(name string, now time.Time) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	spans := d.disturbed[name]
	if len(spans) == 0 {
		return 0
	}
	return now.Sub(spans[len(spans)-1].from)
}

// watchForStalls records a disturbance of everything while the harness itself gets no
// processor time, since the VMs are then starved too and miss their deadlines.
func (d *disturbances) watchForStalls(stop <-chan struct{}) {
	last := time.Now()
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(last) > stallThreshold {
			d.add(everything, last, now)
			d.mutex.Lock()
			d.stalls++
			d.mutex.Unlock()
		}
		last = now
	}
}
