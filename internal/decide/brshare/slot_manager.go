package brshare

import (
	"slices"
	"strconv"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brallocation"
)

// LeaseSettings are the lease and division settings of a failure domain's parts.
type LeaseSettings struct {
	poolLease  time.Duration
	floorLease time.Duration
	floorShare int
}

// Default terms.
const (
	DefaultPoolLease  = 10 * time.Second
	DefaultFloorLease = 75 * time.Minute
	DefaultFloorShare = 25 // percent
)

// renewalsPerFloorLease is the number of renewals of a floor within its lease.
const renewalsPerFloorLease = 5

// DefaultRowUpdatePeriod is the interval at which a VM reads and updates the row of its
// failure domain: twice within a lease of the pool.
const DefaultRowUpdatePeriod = DefaultPoolLease / 2

// NewLeaseSettings returns terms with the leases of pool and floors and the percentage of a
// failure domain's parts that is reserved for floors.
func NewLeaseSettings(poolLease, floorLease time.Duration, floorShare int) LeaseSettings {
	return LeaseSettings{poolLease: poolLease, floorLease: floorLease, floorShare: min(max(floorShare, 0), 100)}
}

// DefaultLeaseSettings returns the default lease and division settings.
func DefaultLeaseSettings() LeaseSettings {
	return NewLeaseSettings(DefaultPoolLease, DefaultFloorLease, DefaultFloorShare)
}

func (t LeaseSettings) floorSize(parts Parts, floors int) Parts {
	return parts * Parts(t.floorShare) / 100 / Parts(floors)
}

// SlotManager decides which slots of its failure domain's row one process claims, renews and
// releases. It is not safe for concurrent use.
type SlotManager struct {
	holder   string
	vm       string
	terms    LeaseSettings
	observed map[string]observation
	renewed  map[string]time.Time
	leaving  bool
	hasFloor bool
}

type observation struct {
	slot  brallocation.Slot
	since time.Time
}

// NewSlotManager returns the tenancy of a process. holder is its incarnation.
func NewSlotManager(holder, vm string, terms LeaseSettings) *SlotManager {
	return &SlotManager{holder: holder, vm: vm, terms: terms, observed: map[string]observation{}, renewed: map[string]time.Time{}}
}

// Observe records a row that was read. now must be a time after the read.
func (t *SlotManager) Observe(row brallocation.Row, now time.Time) {
	for _, s := range row.Slots() {
		if observed, ok := t.observed[s.Name()]; !ok || observed.slot != s {
			t.observed[s.Name()] = observation{slot: s, since: now}
		}
	}
}

// NextRow returns the row that this process wants to write and whether it differs from the
// one that was read. A missing row is read as the empty one. A candidate may claim the
// pool.
func (t *SlotManager) NextRow(row brallocation.Row, layout Layout, candidate bool, now time.Time) (brallocation.Row, bool) {
	next, changed := t.renew(row, layout, now)
	if t.leaving {
		return next, changed
	}
	if candidate && t.vacant(next, brallocation.PoolSlot, now) {
		next, changed = t.takePool(next, layout, now), true
	}
	if taken, ok := t.takeFloor(next, now); ok {
		next, changed = taken, true
	}
	return next, changed
}

// Committed returns the grants that writing a row has created. Their leases count from
// asked, a time before the row was read.
func (t *SlotManager) Committed(before, row brallocation.Row, asked time.Time) []Grant {
	grants := []Grant{}
	t.hasFloor = slices.ContainsFunc(row.Slots(), t.holdsFloor)
	for _, s := range row.Slots() {
		if s.Holder() != t.holder || t.unchanged(before, s) {
			continue
		}
		t.renewed[s.Name()] = asked
		grants = append(grants, Grant{slot: s.Name(), parts: s.Parts(), end: HolderExpiry(asked, s.Lease())})
	}
	return grants
}

// HasFloor reports whether the process has a floor in the row that was last written.
func (t *SlotManager) HasFloor() bool { return t.hasFloor }

// StopClaiming stops all further claims and renewals.
func (t *SlotManager) StopClaiming() { t.leaving = true }

// ReleaseSlots returns the row with the slots of the process released. Their parts must no
// longer be in use, neither by this process nor by borrowers.
func (t *SlotManager) ReleaseSlots(row brallocation.Row) brallocation.Row {
	for _, s := range row.Slots() {
		if s.Holder() == t.holder {
			row = row.Replace(s.Released())
		}
	}
	return row
}

// Grant holds the parts that a slot grants its holder until its lease ends.
type Grant struct {
	slot  string
	parts Parts
	end   time.Time
}

// Slot returns the name of the slot.
func (g Grant) Slot() string { return g.slot }

// Parts returns the number of granted parts.
func (g Grant) Parts() Parts { return g.parts }

// End returns the time at which the lease ends for the holder.
func (g Grant) End() time.Time { return g.end }

func (*SlotManager) unchanged(before brallocation.Row, slot brallocation.Slot) bool {
	return slices.Contains(before.Slots(), slot)
}

func (t *SlotManager) renew(row brallocation.Row, layout Layout, now time.Time) (brallocation.Row, bool) {
	changed := false
	for _, s := range row.Slots() {
		if s.Holder() != t.holder || t.leaving || !t.renewalDue(s, row, layout, now) {
			continue
		}
		row, changed = row.Replace(s.WithHolder(t.holder, t.vm, s.Lease())), true
	}
	return row, changed
}

// renewalDue reports whether to renew a slot. The pool is not renewed while the layout
// has to change: its lease expires, and the next process to claim it divides the free
// parts again.
func (t *SlotManager) renewalDue(slot brallocation.Slot, row brallocation.Row, layout Layout, now time.Time) bool {
	if slot.Name() == brallocation.PoolSlot {
		return t.settled(row, layout)
	}
	if !t.holdsFloor(slot) && row.Waiting() {
		return false
	}
	renewed, ok := t.renewed[slot.Name()]
	return !ok || now.Sub(renewed) >= slot.Lease()/renewalsPerFloorLease
}

// settled reports whether dividing the row again would not bring it closer to the layout.
func (t *SlotManager) settled(row brallocation.Row, layout Layout) bool {
	var pool, floors Parts
	for _, s := range row.Slots() {
		if s.Name() == brallocation.PoolSlot {
			pool = s.Parts()
		} else {
			floors += s.Parts()
		}
	}
	size := t.terms.floorSize(layout.parts, layout.floors)
	enough := len(row.Slots()) > layout.floors || pool < size
	return enough && (row.Parts() == layout.parts || floors >= layout.parts)
}

// takeFloor claims a vacant floor if the process has none. The holder of the pool claims
// the remaining ones too, under the pool's lease, so that the parts of stopped VMs don't
// go unused. It stops renewing them once a VM waits for a floor.
func (t *SlotManager) takeFloor(row brallocation.Row, now time.Time) (brallocation.Row, bool) {
	changed, hasFloor := false, slices.ContainsFunc(row.Slots(), t.holdsFloor)
	for _, s := range row.Slots() {
		if s.Name() == brallocation.PoolSlot || !t.vacant(row, s.Name(), now) {
			continue
		}
		lease := t.terms.floorLease
		if hasFloor {
			if !t.holdsPool(row) || row.Waiting() {
				break
			}
			lease = t.terms.poolLease
		}
		row = row.Replace(s.WithHolder(t.holder, t.vm, lease))
		if !hasFloor {
			row = row.WithWaiting(false)
		}
		changed, hasFloor = true, true
	}
	if !hasFloor && !row.Waiting() && len(row.Slots()) > 0 {
		return row.WithWaiting(true), true
	}
	return row, changed
}

func (t *SlotManager) holdsFloor(s brallocation.Slot) bool {
	return s.Name() != brallocation.PoolSlot && s.Holder() == t.holder && s.Lease() == t.terms.floorLease
}

func (t *SlotManager) holdsPool(row brallocation.Row) bool {
	return slices.ContainsFunc(row.Slots(), func(s brallocation.Slot) bool {
		return s.Name() == brallocation.PoolSlot && s.Holder() == t.holder
	})
}

// takePool divides the parts of the pool and of vacant floors again and claims the pool.
func (t *SlotManager) takePool(row brallocation.Row, layout Layout, now time.Time) brallocation.Row {
	sequence := row.Sequence() + 1
	floors := []brallocation.Slot{}
	free := layout.parts
	for _, s := range row.Slots() {
		if s.Name() != brallocation.PoolSlot && !t.vacant(row, s.Name(), now) {
			floors = append(floors, s)
			free -= s.Parts()
		}
	}
	parts := layout.parts
	if free < 0 {
		parts, free = parts-free, 0
	}
	size := t.terms.floorSize(parts, layout.floors)
	for i := 0; len(floors) < layout.floors && free >= size; i++ {
		name := "floor-" + strconv.Itoa(i)
		if slices.ContainsFunc(floors, func(s brallocation.Slot) bool { return s.Name() == name }) {
			continue
		}
		floors = append(floors, brallocation.NewSlot(name, size).WithSequence(sequence))
		free -= size
	}
	taken := brallocation.NewSlot(brallocation.PoolSlot, free).WithSequence(sequence).WithHolder(t.holder, t.vm, t.terms.poolLease)
	next, err := brallocation.NewRow(parts, append([]brallocation.Slot{taken}, floors...)...)
	if err != nil {
		return row
	}
	return next.WithSequence(sequence)
}

// vacant reports whether a slot was released or its lease has certainly expired.
func (t *SlotManager) vacant(row brallocation.Row, name string, now time.Time) bool {
	for _, s := range row.Slots() {
		if s.Name() != name {
			continue
		}
		if s.Holder() == "" {
			return true
		}
		observed := t.observed[name]
		return observed.slot == s && !now.Before(GrantorExpiry(observed.since, s.Lease()))
	}
	return name == brallocation.PoolSlot
}
