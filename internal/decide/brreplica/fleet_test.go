package brreplica_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brreplica"
	"bergamotroad.example/bergamotroad/internal/decide/brsource"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
)

const (
	simStep         = 50 * time.Millisecond
	simVMs          = 8
	simServers      = 6
	syncHold        = 400 * time.Millisecond // how long a VM holds a sync without changes
	syncTimeout     = 300 * time.Millisecond // beyond the hold
	searchPause     = 100 * time.Millisecond
	checkPause      = 200 * time.Millisecond
	maxReadAge      = 1300 * time.Millisecond
	firstBackoff    = 250 * time.Millisecond
	contactTime     = 3 * time.Second // after a disturbance, in which the bounds don't hold
	drainBound      = 2 * time.Second
	entryLifetime   = 4 * time.Second // of an entry in an outage
	registrationLag = 2 * time.Second // after an outage
)

// simulation simulates VMs that read the store, or follow VMs that do, while the store fails,
// VMs fail and servers leave.
type simulation struct {
	now           time.Time
	vms           []*simVM
	list          []brfleet.VM
	registrations brrecord.Batch
	revision      brrecord.Revision
	entries       map[string]string
	removed       map[string]time.Time // when a server left, while the store was available
	downFrom      time.Time
	downUntil     time.Time
	hangs         bool // calls in the outage time out rather than fail at once
	lapses        map[string]time.Duration
}

// simVM is a VM of the simulation.
type simVM struct {
	self        brfleet.VM
	chooser     *brsource.Chooser
	replica     *brreplica.Replica
	reading     bool
	readAt      time.Time // when the call in progress began, or zero
	nextRead    time.Time
	failures    int
	succeededAt time.Time
	peer        *simVM // the VM of the sync in progress, or nil
	syncAt      time.Time
	syncHold    time.Duration
	nextSync    time.Time
	offUntil    time.Time // without power until then
	frozenUntil time.Time
	cutUntil    time.Time // cut off from the store
	aloneUntil  time.Time // cut off from the other VMs
	muteUntil   time.Time // its answers to other VMs are lost
	disturbed   time.Time // end of its last disturbance
}

func newFleetSimulation() *simulation {
	s := &simulation{now: start, entries: map[string]string{}, removed: map[string]time.Time{}, lapses: map[string]time.Duration{}, revision: 1}
	for i := range simServers {
		s.entries[fmt.Sprint("i-", i)] = "ready"
	}
	records := []brrecord.Record{}
	for i := range simVMs {
		name := fmt.Sprint("vm-", i)
		region := []string{"a", "b"}[i*2/simVMs]
		s.list = append(s.list, brfleet.NewVM(name, "", "").WithLocation(region, region))
		records = append(records, brrecord.New(brrecord.AreaVMs, name, 1, nil))
	}
	s.registrations = brrecord.NewBatch(brrecord.AreaVMs, records, 1, true)
	for _, vm := range s.list {
		v := &simVM{self: vm, disturbed: start}
		s.startVM(v)
		s.vms = append(s.vms, v)
	}
	return s
}

// startVM gives a VM the state of a new process.
func (s *simulation) startVM(v *simVM) {
	*v = simVM{self: v.self, chooser: brsource.New(v.self), replica: brreplica.New(textDecoder{}), offUntil: v.offUntil, disturbed: v.disturbed}
	v.replica.Apply(s.now, s.registrations, s.now)
}

func (s *simulation) storeDown() bool { return s.now.Before(s.downUntil) && !s.now.Before(s.downFrom) }

func (v *simVM) stopped(now time.Time) bool {
	return now.Before(v.offUntil) || now.Before(v.frozenUntil)
}

// step simulates the next moment.
func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	s.revision++ // of a heartbeat
	s.stepStore()
	for _, v := range s.vms {
		if v.stopped(s.now) {
			continue
		}
		s.stepRead(v)
		s.stepSync(v)
	}
}

// stepStore lets entries lapse in an outage, and register again after it.
func (s *simulation) stepStore() {
	for id, lag := range s.lapses {
		switch {
		case s.storeDown() && s.now.Sub(s.downFrom) > entryLifetime:
			delete(s.entries, id)
		case !s.storeDown() && s.now.Sub(s.downUntil) >= lag:
			s.entries[id] = "ready"
			delete(s.lapses, id)
		}
	}
}

// stepRead starts or ends a call of a VM to the store.
func (s *simulation) stepRead(v *simVM) {
	if v.readAt.IsZero() {
		if v.reading && !s.now.Before(v.nextRead) {
			v.readAt = s.now
		}
		return
	}
	waited := s.now.Sub(v.readAt)
	reachable := !s.now.Before(v.cutUntil) && !s.storeDown()
	switch {
	case reachable && waited < readTimeout:
		v.replica.Apply(s.now, serverBatch(s.revision, true, s.entries), v.readAt)
		v.succeededAt, v.failures = v.readAt, 0
		v.nextRead = v.readAt.Add(pollPause)
	case (s.storeDown() && !s.hangs && !s.now.Before(v.cutUntil)) || waited >= readTimeout:
		v.replica.RecordFailedRead(v.readAt, s.now)
		v.succeededAt = time.Time{}
		v.nextRead = s.now.Add(min(firstBackoff<<v.failures, readBackoff))
		v.failures = min(v.failures+1, 4)
	default:
		return
	}
	v.readAt = time.Time{}
}

func (s *simulation) readable(v *simVM) bool {
	return v.reading && s.now.Sub(v.succeededAt) <= maxReadAge
}

// stepSync ends a sync of a VM, or plans the next one.
func (s *simulation) stepSync(v *simVM) {
	if v.peer == nil {
		s.planSync(v)
		return
	}
	waited := s.now.Sub(v.syncAt)
	answers := !v.peer.stopped(s.now) && !s.now.Before(v.peer.aloneUntil) && !s.now.Before(v.aloneUntil) && !s.now.Before(v.peer.muteUntil)
	news := v.peer.replica.Revisions()[brrecord.AreaServers] > v.replica.Revisions()[brrecord.AreaServers]
	switch {
	case answers && (waited >= v.syncHold || news):
		s.endSync(v, s.follow(v))
	case waited >= v.syncHold+syncTimeout:
		s.endSync(v, brsource.Failed)
	}
}

func (s *simulation) planSync(v *simVM) {
	if s.now.Before(v.nextSync) {
		return
	}
	plan := v.chooser.Plan(s.now, s.list, s.readable(v))
	v.reading = plan.Reads()
	v.nextSync = s.now.Add(checkPause)
	vm, asks := plan.VM()
	if !asks {
		return
	}
	for _, peer := range s.vms {
		if peer.self.Name() == vm.Name() {
			v.peer, v.syncAt, v.syncHold = peer, s.now, 0
		}
	}
	if plan.MayWait() {
		v.syncHold = syncHold
	}
}

// follow applies what the other VM of a sync knows.
func (s *simulation) follow(v *simVM) brsource.Outcome {
	asOf, known := v.peer.replica.AsOf(brrecord.AreaServers)
	for _, b := range v.peer.replica.Since(v.replica.Revisions()) {
		if b.Area() == brrecord.AreaServers {
			v.replica.Apply(s.now, b, asOf)
		}
	}
	v.replica.RecordPeer(s.now)
	if known && s.readable(v.peer) && s.now.Sub(asOf) <= maxReadAge {
		return brsource.Fresh
	}
	return brsource.Stale
}

func (s *simulation) endSync(v *simVM, outcome brsource.Outcome) {
	v.chooser.Observe(s.now, v.peer.self, outcome)
	v.peer = nil
	v.nextSync = s.now
	if outcome != brsource.Fresh {
		v.nextSync = s.now.Add(searchPause)
	}
}

// disturb draws a fault of the store or of VMs, and the servers that leave beside it. It
// returns the time that it takes.
func (s *simulation) disturb(t *rapid.T) time.Duration {
	length := time.Duration(rapid.IntRange(2, 9).Draw(t, "seconds")) * time.Second
	end := s.now.Add(length)
	kind := rapid.SampledFrom([]string{"outage", "power", "restart", "freeze", "store cut", "cut off", "mute", "none"}).Draw(t, "fault")
	if kind == "outage" {
		s.downFrom, s.downUntil, s.hangs = s.now, end, rapid.Bool().Draw(t, "hangs")
		for _, id := range slices.Sorted(maps.Keys(s.entries)) {
			if rapid.Bool().Draw(t, "lapses") {
				s.lapses[id] = time.Duration(rapid.Int64Range(0, int64(registrationLag)).Draw(t, "lag"))
			}
		}
		return length
	}
	first := rapid.SampledFrom([]int{0, simVMs / 2}).Draw(t, "region")
	for _, v := range s.vms[first : first+rapid.IntRange(0, 2).Draw(t, "count")] {
		v.disturbed = end
		switch kind {
		case "power":
			v.offUntil = end
			s.startVM(v)
		case "restart":
			v.offUntil = s.now.Add(simStep * 10)
			s.startVM(v)
		case "mute":
			v.muteUntil = end
		case "freeze":
			v.frozenUntil = end
		case "store cut":
			v.cutUntil = end
		case "cut off":
			v.cutUntil, v.aloneUntil = end, end
		}
	}
	return length
}

// leave removes the entry of a server that has not left yet.
func (s *simulation) leave(t *rapid.T) {
	if s.storeDown() || s.now.Sub(s.downUntil) < contactTime || len(s.entries) <= simServers/2 {
		return
	}
	id := rapid.SampledFrom([]string{"i-0", "i-1", "i-2", "i-3", "i-4", "i-5"}).Draw(t, "leaves")
	if _, ok := s.entries[id]; ok {
		delete(s.entries, id)
		s.removed[id] = s.now
	}
}

// check checks the views of the VMs that are in touch.
func (s *simulation) check(t *rapid.T) {
	for _, v := range s.vms {
		if v.stopped(s.now) || s.now.Sub(v.disturbed) < contactTime || s.now.Sub(start) < contactTime {
			continue
		}
		listed := map[string]bool{}
		for _, id := range serverIDs(v.replica.View(s.now)) {
			listed[id] = true
		}
		if !s.storeDown() && s.now.Sub(s.downUntil) >= contactTime {
			for id, at := range s.removed {
				require.False(t, listed[id] && s.now.Sub(at) > drainBound, "%s keeps %s %v after it left, at %v", v.self.Name(), id, s.now.Sub(at), s.now.Sub(start))
			}
		}
		for id := range s.lapses {
			require.True(t, listed[id], "%s lost %s, whose entry lapsed in an outage, at %v", v.self.Name(), id, s.now.Sub(start))
		}
	}
}

// Guards against sending to servers that have left (DRAIN) and against losing servers whose
// entries lapse while the store is unavailable: VMs lose power, freeze, are cut off from the
// store or from everything, and the store is unavailable, one after the other, while servers
// leave.
func TestViewsHoldLiveServersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFleetSimulation()
		run := func(duration time.Duration) {
			for end := s.now.Add(duration); s.now.Before(end); {
				s.step()
				s.check(t)
			}
		}
		run(2 * contactTime)
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			length := s.disturb(t)
			before := time.Duration(rapid.Int64Range(0, int64(length)).Draw(t, "before"))
			run(before)
			s.leave(t)
			run(length - before)
			run(time.Duration(rapid.IntRange(3, 8).Draw(t, "calm")) * time.Second)
		}
	})
}
