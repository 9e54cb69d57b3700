// Package braggregator provides the duty that aggregates the status of the fleet: the live
// members, the demand of callers, the results of running rollouts and notices of poison
// requests.
//
// Each VM reports its own status to a VM of its region that reads the store. Those VMs
// exchange the sums of their regions and pass the sum of the fleet back.
//
// The counts of rollouts are kept by VM on all VMs, so that those of a VM that stops, in order
// or not, stay known. They are lost only if all VMs stop at once, or with a VM that is killed
// before it has reported them.
//
// # Usage
//
//	aggregator := braggregator.New(clock, self)
//	group.Start(aggregator.Duty())
//	aggregator.SetDemands(demands)
//	aggregator.Report("vm-3", "north", status)
//	fleet := aggregator.Summary().Fleet()
package braggregator

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/braggregation"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

const (
	queueCapacity = 1024 // messages
	// sumPeriod is the interval at which the sums are recomputed.
	sumPeriod = 250 * time.Millisecond
	// receivedLifetime is how long a fleet status received from another VM is used, also
	// by a VM that has just begun to read the store and has no reports yet.
	receivedLifetime = 2 * time.Second
	// noticeLifetime is how long this VM publishes a notice of a poison request: several
	// times the propagation delay to all VMs.
	noticeLifetime = 15 * time.Second
	// maxNotices bounds the poison notices that a VM publishes at a time, and so the size
	// of messages.
	maxNotices = 64
)

// Listener receives what other VMs know of poison requests.
type Listener interface {
	// Receive receives the notice of another VM.
	Receive(notice brrequest.PoisonNotice)
	// Adopt takes over what another VM knows of poison requests.
	Adopt(cases []brrequest.PoisonCase)
}

// Summary is the status of the fleet, of this VM's region and of this VM at one point in
// time. It is immutable.
type Summary struct {
	fleet    brstatus.Status
	region   brstatus.Status
	own      brstatus.Status
	asOf     time.Time
	isLeader bool
}

// IsLeader reports whether this VM reads the store itself, so that other VMs of the region
// report to it.
func (s *Summary) IsLeader() bool { return s.isLeader }

// Fleet returns the status of the fleet.
func (s *Summary) Fleet() brstatus.Status { return s.fleet }

// Region returns the status of this VM's region, as reported to this VM.
func (s *Summary) Region() brstatus.Status { return s.region }

// Own returns the status of this VM.
func (s *Summary) Own() brstatus.Status { return s.own }

// AsOf returns the time of the fleet status.
func (s *Summary) AsOf() time.Time { return s.asOf }

type kind int

const (
	kindDemands kind = iota
	kindTallies
	kindRollouts
	kindReport
	kindRegion
	kindFleet
	kindLeader
	kindLeave
	kindNotice
	kindServers
	kindCases
)

type message struct {
	kind     kind
	name     string
	region   string
	status   brstatus.Status
	demands  map[string]float64
	tallies  map[brrecord.Revision]brstatus.Tally
	rollouts map[brrecord.Revision]Rollout
	asOf     time.Time
	isLeader bool
	notice   brrequest.PoisonNotice
	servers  map[brstatus.ServerKey]brstatus.ServerUse
	cases    []brrequest.PoisonCase
}

// Aggregator is the duty that aggregates fleet status and its API.
type Aggregator struct {
	duty    *brduty.Duty[message, struct{}]
	handler *handler
}

// New creates the duty of the VM self without starting it.
func New(clock brclock.Clock, self brfleet.VM) *Aggregator {
	h := &handler{
		clock: clock, self: self, reports: braggregation.NewAggregator(self.Region()), isLeader: true,
		notices:  braggregation.NewNotices(noticeLifetime, maxNotices),
		reporter: brstatus.Reporter(rand.Uint64()),
	}
	h.summary.Store(&Summary{})
	return &Aggregator{
		duty:    brduty.New[message, struct{}]("counting", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithPeriod(sumPeriod)),
		handler: h,
	}
}

// Duty returns the duty to start.
func (a *Aggregator) Duty() brduty.Runner { return a.duty }

// Subscribe adds a ring that receives each new summary. It must be called before the
// duty starts.
func (a *Aggregator) Subscribe(ring *brring.Latest[*Summary]) {
	a.handler.subscribers = append(a.handler.subscribers, ring)
}

// SetListener sets the listener for poison notices. It must be called before the duty
// starts.
func (a *Aggregator) SetListener(listener Listener) { a.handler.listener = listener }

// Broadcast publishes a notice of a poison request to all VMs. It does not block.
func (a *Aggregator) Broadcast(notice brrequest.PoisonNotice) {
	_ = a.duty.Queue().Send(message{kind: kindNotice, notice: notice})
}

// Summary returns the latest summary of the fleet.
func (a *Aggregator) Summary() *Summary { return a.handler.summary.Load() }

// SetDemands sets the demand of callers on this VM, by organisation.
func (a *Aggregator) SetDemands(demands map[string]float64) {
	_ = a.duty.Queue().Send(message{kind: kindDemands, demands: demands})
}

// SetTallies sets the counts of responses that this VM has seen during rollouts, by
// revision of the rollout.
func (a *Aggregator) SetTallies(tallies map[brrecord.Revision]brstatus.Tally) {
	_ = a.duty.Queue().Send(message{kind: kindTallies, tallies: tallies})
}

// Rollout is what this VM knows of a rollout. It is immutable.
type Rollout struct {
	age   time.Duration
	ended bool
}

// NewRollout returns a rollout that has been known to run for the given time, or has ended.
func NewRollout(age time.Duration, ended bool) Rollout { return Rollout{age: age, ended: ended} }

// SetRollouts sets the rollouts that this VM knows, by revision.
func (a *Aggregator) SetRollouts(rollouts map[brrecord.Revision]Rollout) {
	_ = a.duty.Queue().Send(message{kind: kindRollouts, rollouts: rollouts})
}

// SetServers sets what this VM has at servers whose loads are exchanged.
func (a *Aggregator) SetServers(servers map[brstatus.ServerKey]brstatus.ServerUse) {
	_ = a.duty.Queue().Send(message{kind: kindServers, servers: servers})
}

// KeepCases sets what this VM knows of poison requests and passes on to VMs that don't.
func (a *Aggregator) KeepCases(cases []brrequest.PoisonCase) {
	_ = a.duty.Queue().Send(message{kind: kindCases, cases: cases})
}

// Report records the status reported by another VM.
func (a *Aggregator) Report(vm, region string, status brstatus.Status) {
	_ = a.duty.Queue().Send(message{kind: kindReport, name: vm, region: region, status: status})
}

// ReportRegion records the status of another region.
func (a *Aggregator) ReportRegion(region string, status brstatus.Status) {
	_ = a.duty.Queue().Send(message{kind: kindRegion, name: region, status: status})
}

// SetFleet sets the fleet status as of the given time, received from the VM that this VM
// reports to.
func (a *Aggregator) SetFleet(fleet brstatus.Status, asOf time.Time) {
	_ = a.duty.Queue().Send(message{kind: kindFleet, status: fleet, asOf: asOf})
}

// SetLeader sets whether this VM reads the store itself, so that other VMs report to it.
func (a *Aggregator) SetLeader(isLeader bool) {
	_ = a.duty.Queue().Send(message{kind: kindLeader, isLeader: isLeader})
}

// Leave removes this VM from the members before it stops.
func (a *Aggregator) Leave() { _ = a.duty.Queue().Send(message{kind: kindLeave}) }

// handler owns the reports of other VMs and computes the sums.
type handler struct {
	clock       brclock.Clock
	self        brfleet.VM
	reports     *braggregation.Aggregator
	subscribers []*brring.Latest[*Summary]
	summary     atomic.Pointer[Summary]
	demands     map[string]float64
	tallies     map[brrecord.Revision]brstatus.Tally
	rollouts    map[brrecord.Revision]Rollout
	// reporter identifies this run of the VM in ledgers.
	reporter brstatus.Reporter
	// ledger holds the tallies of all VMs, also of those that have stopped.
	ledger        brstatus.Ledger
	receivedFleet brstatus.Status
	// receivedLedger is the ledger of the VM that this one reports to.
	receivedLedger brstatus.Ledger
	// cases are the poison requests that this VM knows, and receivedCases those that the VM
	// knows that this one reports to.
	cases         poisonCases
	receivedCases poisonCases
	receivedAsOf  time.Time
	isLeader      bool
	leaderSince   time.Time
	stopping      bool
	stoppingSince time.Time
	notices       *braggregation.Notices
	listener      Listener
	servers       map[brstatus.ServerKey]brstatus.ServerUse
}

// Handle processes one message.
func (h *handler) Handle(_ context.Context, m message) {
	now := h.clock.Now()
	switch m.kind {
	case kindDemands:
		h.demands = m.demands
	case kindTallies:
		h.tallies = m.tallies
		h.recompute(now)
	case kindRollouts:
		h.rollouts = m.rollouts
	case kindReport:
		h.reports.AddReport(now, m.name, m.region, h.take(m.status))
	case kindRegion:
		h.reports.AddRegion(now, m.name, h.take(m.status))
	case kindFleet:
		h.receivedLedger = m.status.Ledger()
		h.receivedCases = newPoisonCases(m.status.Cases())
		h.receivedFleet = h.take(m.status)
		h.reports.AddStops(now, m.status)
		h.receivedAsOf = m.asOf
		h.recompute(now)
	case kindLeader:
		if m.isLeader && !h.isLeader {
			h.leaderSince = now
		}
		h.isLeader = m.isLeader
	case kindLeave:
		h.stopping, h.stoppingSince = true, now
		h.recompute(now)
	case kindServers:
		h.servers = m.servers
		h.recompute(now)
	case kindCases:
		h.cases = newPoisonCases(m.cases)
		h.recompute(now)
	case kindNotice:
		h.notices.Publish(now, m.notice)
		h.recompute(now)
	}
}

// Update does nothing: the duty does not depend on the configuration.
func (*handler) Update(context.Context, struct{}) {}

// Tick recomputes the sums.
func (h *handler) Tick(_ context.Context, now time.Time) { h.recompute(now) }

func (h *handler) recompute(now time.Time) {
	members := []string{h.self.Name()}
	if h.stopping {
		members = nil
	}
	h.countOwn()
	own := brstatus.New(members, h.demands, nil).WithPoison(h.notices.Published(now)).WithStopping(h.stoppingVMs(now)).WithServers(h.servers)
	h.reports.AddReport(now, h.self.Name(), h.self.Region(), own)
	summary := &Summary{
		own:      own.WithLedger(h.ledger.Without(h.receivedLedger)).WithCases(h.cases.without(h.receivedCases)),
		region:   h.reports.Region(now),
		isLeader: h.isLeader, fleet: h.receivedFleet, asOf: h.receivedAsOf,
	}
	if !h.usesReceivedFleet(now) {
		summary.fleet, summary.asOf = h.reports.Total(now, summary.region), now
	}
	summary.region = summary.region.WithLedger(h.ledger).WithCases(h.cases.all())
	summary.fleet = summary.fleet.WithLedger(h.ledger).WithCases(h.cases.all())
	h.summary.Store(summary)
	h.deliverNotices(now, summary.fleet)
	for _, ring := range h.subscribers {
		_ = ring.Send(summary)
	}
}

// deliverNotices passes new poison notices of other VMs to the listener.
func (h *handler) deliverNotices(now time.Time, fleet brstatus.Status) {
	for _, notice := range h.notices.Unseen(now, fleet.Poison()) {
		h.listener.Receive(notice)
	}
}

// stoppingVMs returns this VM with the time since it began to stop, or nil if it is not
// stopping.
func (h *handler) stoppingVMs(now time.Time) map[string]time.Duration {
	if !h.stopping {
		return nil
	}
	return map[string]time.Duration{h.self.Name(): now.Sub(h.stoppingSince)}
}

// take takes over what another VM knows of rollouts and poison requests, and returns the
// status without it.
func (h *handler) take(status brstatus.Status) brstatus.Status {
	h.ledger = h.ledger.Merge(status.Ledger().Filter(h.isCurrent))
	if unknown := newPoisonCases(status.Cases()).without(h.cases); len(unknown) > 0 {
		h.listener.Adopt(unknown)
	}
	return status.WithLedger(nil).WithCases(nil)
}

// countOwn adds what this VM has counted to the ledger, and removes the rollouts that have
// ended.
func (h *handler) countOwn() {
	own := brstatus.Ledger{}
	for revision, rollout := range h.rollouts {
		own[revision] = map[brstatus.Reporter]brstatus.Tally{h.reporter: h.tallies[revision].WithAge(rollout.age)}
	}
	h.ledger = h.ledger.Merge(own).Filter(h.isCurrent)
}

// isCurrent reports whether a rollout runs, as far as this VM knows. Rollouts with a higher
// revision than all known ones may have been ordered since.
func (h *handler) isCurrent(revision brrecord.Revision) bool {
	if rollout, known := h.rollouts[revision]; known {
		return !rollout.ended
	}
	for known := range h.rollouts {
		if known > revision {
			return false
		}
	}
	return true
}

// usesReceivedFleet reports whether the fleet status received from another VM is preferred to
// this VM's own sum, which is so while the status is not too old: on a VM that doesn't read
// the store itself, and for a short time on a VM that has just begun to, since it has few
// reports yet.
func (h *handler) usesReceivedFleet(now time.Time) bool {
	if now.Sub(h.receivedAsOf) > receivedLifetime {
		return false
	}
	return !h.isLeader || now.Sub(h.leaderSince) < receivedLifetime
}
