// Package brliveness decides which VMs one VM believes to be alive. It is a
// membership protocol with failure detection, similar to SWIM.
//
// Each VM pings a few others of its failure domain: its successor in each of
// three hash rings, so that each VM is pinged by as many VMs as it pings. In
// round-robin order it also pings one VM of another failure domain, one more of
// its own, and one that it believes to be dead, so that the end of a network
// partition is noticed. Pings and their answers carry recent changes of state.
//
// A VM that does not answer two consecutive pings is suspected. It is declared dead
// if it has not refuted the suspicion within 3 s and two observers have got no answer
// from the same incarnation, or once this VM itself has got none for 10 s. A report
// with a single observer that a VM is dead counts as a suspicion only.
// A VM that learns that it is suspected or declared dead refutes this with a
// higher incarnation, which overrides all changes of the lower one. A VM that
// was paused, or that receives nothing from other VMs, suspects no VM.
//
// # Usage
//
//	view := brliveness.NewView("vm-1", "montevideo-a", incarnation, now)
//	view.SetMembers(members)
//	for _, m := range view.Targets() {
//		// send view.Ping(m.Name(), generation); then view.Receive or view.RecordMiss
//	}
//	view.Advance(now)
//	list := view.Members()
package brliveness

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

const (
	// rings is the number of hash rings in which a VM pings its successor.
	rings = 3
	// confirmers is the number of VMs of a failure domain that ping a suspected VM to
	// check the suspicion.
	confirmers = 2
	// missesToSuspect is the number of consecutive unanswered pings after which a VM
	// is suspected.
	missesToSuspect = 2
	// observersToDeclareDead is the number of observers that must have got no answer
	// from a VM before it is declared dead.
	observersToDeclareDead = 2
	// refutationTime is how long a suspected VM has to refute the suspicion.
	refutationTime = 3 * time.Second
	// soleObserverTimeout is how long a VM must not have answered this VM's pings to
	// be declared dead without a second observer.
	soleObserverTimeout = 10 * time.Second
	// pauseThreshold is the time between two rounds above which this VM counts as
	// paused.
	pauseThreshold = 3 * time.Second
	// maxChanges is the maximum number of queued changes that a ping carries.
	maxChanges = 8
	// deadPingPeriod is the number of rounds between two pings to dead VMs.
	deadPingPeriod = 2
	// isolationTimeout is how long a VM may receive nothing before it counts as
	// isolated.
	isolationTimeout = 2500 * time.Millisecond
	// catchUpRate is the number of steps of the round-robin order that a VM takes per
	// round after it was paused or isolated. Each step pings one VM of another
	// failure domain and one of its own.
	catchUpRate = 8
)

// View holds the states in which one VM believes the other VMs to be. It is not safe
// for concurrent use.
type View struct {
	self         string
	domain       string
	incarnation  uint64
	leaving      bool
	members      []brmember.Member
	records      map[string]*record
	sameDomain   []brmember.Member // VMs of the same domain, except those that are dead or have left
	otherDomains []brmember.Member // VMs of other domains, except those that are dead or have left
	round        uint64
	nextPeer     int
	nextDead     int
	catchUpLeft  int // steps of the round-robin order still to be taken at catchUpRate
	lastAdvance  time.Time
	lastHeard    time.Time
	outbox       outbox
	changed      bool
	events       []brmember.Change
}

type record struct {
	member         brmember.Member
	incarnation    uint64
	state          brmember.State
	generation     uint64
	observers      []string
	suspectedSince time.Time // start of the suspicion
	misses         int
	missedSince    time.Time
}

// NewView returns the view of a VM that has received nothing yet.
func NewView(self, domain string, incarnation uint64, now time.Time) *View {
	v := &View{self: self, domain: domain, incarnation: incarnation, records: map[string]*record{}, lastAdvance: now, lastHeard: now}
	v.outbox.put(brmember.NewChange(self, incarnation, brmember.StateAlive), 1)
	return v
}

// SetMembers sets the VMs that the configuration names. New ones count as alive until
// they miss pings.
func (v *View) SetMembers(list brmember.List) {
	records := make(map[string]*record, len(list.All()))
	v.members = list.All()
	for _, m := range v.members {
		if m.Name() == v.self {
			continue
		}
		r, ok := v.records[m.Name()]
		if !ok {
			r = &record{}
		}
		r.member = m
		records[m.Name()] = r
	}
	v.records = records
	v.groupByDomain()
}

// Incarnation returns this VM's own incarnation.
func (v *View) Incarnation() uint64 { return v.incarnation }

// Leave announces that this VM leaves.
func (v *View) Leave() {
	v.leaving = true
	v.outbox.put(v.selfChange(), len(v.records))
	v.changed = true
}

// HasUnsent reports whether a change has not been sent to any VM yet.
func (v *View) HasUnsent() bool { return v.outbox.hasUnsent() }

// Ping returns the message to send to a VM now, as a ping or as the answer to
// one.
func (v *View) Ping(to string, generation uint64) brmember.Ping {
	changes := v.outbox.take(maxChanges)
	if r, ok := v.records[to]; ok && r.state != brmember.StateAlive {
		changes = append(changes, r.change())
	}
	return brmember.NewPing(v.self, v.incarnation, generation, v.leaving, changes)
}

// Receive processes a ping or the answer to one.
func (v *View) Receive(now time.Time, ping brmember.Ping) {
	state := brmember.StateAlive
	if ping.Leaving() {
		state = brmember.StateLeft
	}
	if v.Isolated(now) {
		v.catchUpLeft = len(v.members)
	}
	v.lastHeard = now
	v.apply(now, brmember.NewChange(ping.Name(), ping.Incarnation(), state))
	if r, ok := v.records[ping.Name()]; ok && ping.Incarnation() >= r.incarnation {
		r.misses = 0
		r.generation = ping.Generation()
	}
	for _, c := range ping.Changes() {
		v.apply(now, c)
	}
}

// Members returns the VMs with their believed states. This VM itself is alive,
// or left once Leave was called.
func (v *View) Members() brmember.List {
	members := make([]brmember.Member, 0, len(v.members))
	for _, m := range v.members {
		switch r, ok := v.records[m.Name()]; {
		case ok:
			members = append(members, m.WithState(r.state))
		case v.leaving:
			members = append(members, m.WithState(brmember.StateLeft))
		default:
			members = append(members, m.WithState(brmember.StateAlive))
		}
	}
	return brmember.NewList(members)
}

// TakeChanged reports whether the state of a VM, including this one, changed since the
// previous call.
func (v *View) TakeChanged() bool {
	changed := v.changed
	v.changed = false
	return changed
}

// TakeEvents returns the changes of believed states since the previous call.
func (v *View) TakeEvents() []brmember.Change {
	events := v.events
	v.events = nil
	return events
}

func (v *View) groupByDomain() {
	v.sameDomain, v.otherDomains = nil, nil
	for _, m := range v.members {
		r, ok := v.records[m.Name()]
		switch {
		case !ok || r.state == brmember.StateDead || r.state == brmember.StateLeft:
		case m.Domain() == v.domain:
			v.sameDomain = append(v.sameDomain, m)
		default:
			v.otherDomains = append(v.otherDomains, m)
		}
	}
	slices.SortFunc(v.otherDomains, func(a, b brmember.Member) int { return cmp.Compare(hash(v.self, a.Name()), hash(v.self, b.Name())) })
}

func hash(salt, name string) uint64 {
	return xxhash.Sum64String(salt + "\x00" + name)
}
