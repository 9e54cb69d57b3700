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

// Default lease and division settings.
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

// NewLeaseSettings returns settings with the leases of pool and floors and the percentage
// of a failure domain's parts that is reserved for floors.
func NewLeaseSettings(poolLease, floorLease time.Duration, floorShare int) LeaseSettings {
	return LeaseSettings{poolLease: poolLease, floorLease: floorLease, floorShare: min(max(floorShare, 0), 100)}
}

// DefaultLeaseSettings returns the default lease and division settings.
func DefaultLeaseSettings() LeaseSettings {
	return NewLeaseSettings(DefaultPoolLease, DefaultFloorLease, DefaultFloorShare)
}

// floorSize returns the size of each of a number of floors.
func (s LeaseSettings) floorSize(parts Parts, floors int) Parts {
	return parts * Parts(s.floorShare) / 100 / Parts(floors)
}

// SlotManager decides which slots of its failure domain's row one process claims, renews
// and releases. It is not safe for concurrent use.
type SlotManager struct {
	holder          string
	vm              string
	settings        LeaseSettings
	observed        map[string]observation
	renewedAt       map[string]time.Time
	claimingStopped bool
	hasFloor        bool
}

// observation is a slot as it was read, with the time of the first read of that state.
type observation struct {
	slot  brallocation.Slot
	since time.Time
}

// NewSlotManager returns the slot manager of a process. holder is its incarnation.
func NewSlotManager(holder, vm string, settings LeaseSettings) *SlotManager {
	return &SlotManager{holder: holder, vm: vm, settings: settings, observed: map[string]observation{}, renewedAt: map[string]time.Time{}}
}

// Observe records a row that was read. now must be a time after the read.
func (m *SlotManager) Observe(row brallocation.Row, now time.Time) {
	for _, s := range row.Slots() {
		if observed, ok := m.observed[s.Name()]; !ok || observed.slot != s {
			m.observed[s.Name()] = observation{slot: s, since: now}
		}
	}
}

// NextRow returns the row that this process wants to write and whether it differs from the
// one that was read. A missing row is treated as an empty one. Only a candidate claims the
// pool.
func (m *SlotManager) NextRow(row brallocation.Row, layout Layout, candidate bool, now time.Time) (brallocation.Row, bool) {
	next, changed := m.renew(row, layout, now)
	if m.claimingStopped {
		return next, changed
	}
	if candidate && m.vacant(next, brallocation.PoolSlot, now) {
		next, changed = m.claimPool(next, layout, now), true
	}
	if claimed, ok := m.claimFloor(next, now); ok {
		next, changed = claimed, true
	}
	return next, changed
}

// RecordWrite records that a row was written in place of the one before it, and returns
// the grants that this created. Their leases count from requestedAt, a time before the
// row was read.
func (m *SlotManager) RecordWrite(before, row brallocation.Row, requestedAt time.Time) []Grant {
	grants := []Grant{}
	m.hasFloor = slices.ContainsFunc(row.Slots(), m.holdsFloor)
	for _, s := range row.Slots() {
		if s.Holder() != m.holder || m.unchanged(before, s) {
			continue
		}
		m.renewedAt[s.Name()] = requestedAt
		grants = append(grants, Grant{slot: s.Name(), parts: s.Parts(), end: HolderExpiry(requestedAt, s.Lease())})
	}
	return grants
}

// HasFloor reports whether the process has a floor in the row that was last written.
func (m *SlotManager) HasFloor() bool { return m.hasFloor }

// StopClaiming stops all further claims and renewals.
func (m *SlotManager) StopClaiming() { m.claimingStopped = true }

// ReleaseSlots returns the row with the slots of the process released. Their parts must no
// longer be in use, neither by this process nor by borrowers.
func (m *SlotManager) ReleaseSlots(row brallocation.Row) brallocation.Row {
	for _, s := range row.Slots() {
		if s.Holder() == m.holder {
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

func (m *SlotManager) renew(row brallocation.Row, layout Layout, now time.Time) (brallocation.Row, bool) {
	changed := false
	for _, s := range row.Slots() {
		if s.Holder() != m.holder || m.claimingStopped || !m.renewalDue(s, row, layout, now) {
			continue
		}
		row, changed = row.Replace(s.WithHolder(m.holder, m.vm, s.Lease())), true
	}
	return row, changed
}

// renewalDue reports whether to renew a slot. The pool is not renewed while the layout
// has to change: its lease expires, and the next process to claim it divides the free
// parts again.
func (m *SlotManager) renewalDue(slot brallocation.Slot, row brallocation.Row, layout Layout, now time.Time) bool {
	if slot.Name() == brallocation.PoolSlot {
		return m.settled(row, layout)
	}
	if !m.holdsFloor(slot) && row.Waiting() {
		return false
	}
	lastRenewal, ok := m.renewedAt[slot.Name()]
	return !ok || now.Sub(lastRenewal) >= slot.Lease()/renewalsPerFloorLease
}

// settled reports whether dividing the row again would not bring it closer to the layout.
func (m *SlotManager) settled(row brallocation.Row, layout Layout) bool {
	var pool, floors Parts
	for _, s := range row.Slots() {
		if s.Name() == brallocation.PoolSlot {
			pool = s.Parts()
		} else {
			floors += s.Parts()
		}
	}
	size := m.settings.floorSize(layout.parts, layout.floors)
	enoughFloors := len(row.Slots()) > layout.floors || pool < size
	return enoughFloors && (row.Parts() == layout.parts || floors >= layout.parts)
}

// claimFloor claims a vacant floor if the process has none. The holder of the pool claims
// the remaining ones too, under the pool's lease, so that the parts of stopped VMs don't
// go unused. It stops renewing them once a VM waits for a floor.
func (m *SlotManager) claimFloor(row brallocation.Row, now time.Time) (brallocation.Row, bool) {
	changed, hasFloor := false, slices.ContainsFunc(row.Slots(), m.holdsFloor)
	for _, s := range row.Slots() {
		if s.Name() == brallocation.PoolSlot || !m.vacant(row, s.Name(), now) {
			continue
		}
		lease := m.settings.floorLease
		if hasFloor {
			if !m.holdsPool(row) || row.Waiting() {
				break
			}
			lease = m.settings.poolLease
		}
		row = row.Replace(s.WithHolder(m.holder, m.vm, lease))
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

func (m *SlotManager) holdsFloor(s brallocation.Slot) bool {
	return s.Name() != brallocation.PoolSlot && s.Holder() == m.holder && s.Lease() == m.settings.floorLease
}

func (m *SlotManager) holdsPool(row brallocation.Row) bool {
	return slices.ContainsFunc(row.Slots(), func(s brallocation.Slot) bool {
		return s.Name() == brallocation.PoolSlot && s.Holder() == m.holder
	})
}

// claimPool divides the parts of the pool and of vacant floors again and claims the pool.
func (m *SlotManager) claimPool(row brallocation.Row, layout Layout, now time.Time) brallocation.Row {
	sequence := row.Sequence() + 1
	floors := []brallocation.Slot{}
	free := layout.parts
	for _, s := range row.Slots() {
		if s.Name() != brallocation.PoolSlot && !m.vacant(row, s.Name(), now) {
			floors = append(floors, s)
			free -= s.Parts()
		}
	}
	parts := layout.parts
	if free < 0 {
		parts, free = parts-free, 0
	}
	size := m.settings.floorSize(parts, layout.floors)
	for i := 0; len(floors) < layout.floors && free >= size; i++ {
		name := "floor-" + strconv.Itoa(i)
		if slices.ContainsFunc(floors, func(s brallocation.Slot) bool { return s.Name() == name }) {
			continue
		}
		floors = append(floors, brallocation.NewSlot(name, size).WithSequence(sequence))
		free -= size
	}
	claimed := brallocation.NewSlot(brallocation.PoolSlot, free).WithSequence(sequence).WithHolder(m.holder, m.vm, m.settings.poolLease)
	next, err := brallocation.NewRow(parts, append([]brallocation.Slot{claimed}, floors...)...)
	if err != nil {
		return row
	}
	return next.WithSequence(sequence)
}

// vacant reports whether a slot was released or its lease, with the margin for clock
// errors, has expired. A pool that does not exist yet is vacant.
func (m *SlotManager) vacant(row brallocation.Row, name string, now time.Time) bool {
	for _, s := range row.Slots() {
		if s.Name() != name {
			continue
		}
		if s.Holder() == "" {
			return true
		}
		observed := m.observed[name]
		return observed.slot == s && !now.Before(GrantorExpiry(observed.since, s.Lease()))
	}
	return name == brallocation.PoolSlot
}
