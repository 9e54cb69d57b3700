// Package braggregator provides the duty that aggregates the status of the fleet: the live
// members, the demand of callers, the results of running rollouts and notices of poison
// requests.
//
// Each VM reports its own status to a VM of its region that reads the store. Those VMs
// exchange the sums of their regions and pass the sum of the fleet back.
//
// # Usage
//
//	counting := braggregator.New(clock, self)
//	counting.SetDemands(demands)
//	counting.Report("vm-3", "north", standing)
//	fleet, age := counting.Fleet(now)
package braggregator

import (
	"context"
	"sync/atomic"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/braggregation"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

const (
	queueCapacity = 1024 // messages
	// sumPeriod is the interval at which the sums are recomputed.
	sumPeriod = 250 * time.Millisecond
	// adoptedLifetime is how long a fleet status received from another VM is used, also
	// by a VM that has just begun to read the store and has no reports yet.
	adoptedLifetime = 2 * time.Second
	// noticeLifetime is how long this VM publishes a notice of a poison request: several
	// times the propagation delay to all VMs.
	noticeLifetime = 15 * time.Second
	// maxNotices bounds the poison notices that a VM publishes at a time, and so the size
	// of messages.
	maxNotices = 64
)

// Listener receives notices of poison requests from other VMs.
type Listener interface {
	// Receive receives the notice of another VM.
	Receive(notice brrequest.PoisonNotice)
}

// Summary is the status of the fleet, of this VM's region and of this VM at one point in
// time. It is immutable.
type Summary struct {
	fleet  brstatus.Status
	region brstatus.Status
	own    brstatus.Status
	asOf   time.Time
	leads  bool
}

// IsLeader reports whether this VM reads the store itself, so that other VMs of the region
// report to it.
func (c *Summary) IsLeader() bool { return c.leads }

// Fleet returns the status of the fleet.
func (c *Summary) Fleet() brstatus.Status { return c.fleet }

// Region returns the status of this VM's region, as reported to this VM.
func (c *Summary) Region() brstatus.Status { return c.region }

// Own returns the status of this VM.
func (c *Summary) Own() brstatus.Status { return c.own }

// AsOf returns the time of the fleet status.
func (c *Summary) AsOf() time.Time { return c.asOf }

type kind int

const (
	kindDemands kind = iota
	kindTallies
	kindAges
	kindReport
	kindRegion
	kindFleet
	kindLeader
	kindLeave
	kindNotice
)

type message struct {
	kind     kind
	name     string
	region   string
	standing brstatus.Status
	demands  map[string]float64
	tallies  map[uint64]brstatus.Tally
	ages     map[uint64]time.Duration
	asOf     time.Time
	leads    bool
	notice   brrequest.PoisonNotice
}

// Aggregator is the duty that aggregates fleet status and its API.
type Aggregator struct {
	duty    *brduty.Duty[message, struct{}]
	handler *handler
}

// New creates the duty of the VM self without starting it.
func New(clock brclock.Clock, self brfleet.VM) *Aggregator {
	h := &handler{
		clock: clock, self: self, reports: braggregation.NewAggregator(self.Region()), leads: true,
		notices: braggregation.NewNotices(noticeLifetime, maxNotices),
	}
	h.count.Store(&Summary{})
	return &Aggregator{
		duty:    brduty.New[message, struct{}]("counting", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithPeriod(sumPeriod)),
		handler: h,
	}
}

// Duty returns the duty to start.
func (c *Aggregator) Duty() brduty.Runner { return c.duty }

// Subscribe adds a ring that receives each new summary. It must be called before the
// duty starts.
func (c *Aggregator) Subscribe(ring *brring.Latest[*Summary]) {
	c.handler.subscribers = append(c.handler.subscribers, ring)
}

// SetListener sets the listener for poison notices. It must be called before the duty
// starts.
func (c *Aggregator) SetListener(listener Listener) { c.handler.listener = listener }

// Broadcast publishes a notice of a poison request to all VMs. It does not block.
func (c *Aggregator) Broadcast(notice brrequest.PoisonNotice) {
	_ = c.duty.Queue().Send(message{kind: kindNotice, notice: notice})
}

// Summary returns the latest summary of the fleet.
func (c *Aggregator) Summary() *Summary { return c.handler.count.Load() }

// SetDemands sets the demand of callers on this VM, by organisation.
func (c *Aggregator) SetDemands(demands map[string]float64) {
	_ = c.duty.Queue().Send(message{kind: kindDemands, demands: demands})
}

// SetTallies sets the counts of answers that this VM has seen during rollouts, by
// revision of the rollout.
func (c *Aggregator) SetTallies(tallies map[uint64]brstatus.Tally) {
	_ = c.duty.Queue().Send(message{kind: kindTallies, tallies: tallies})
}

// SetAges sets for how long this VM has known of each running rollout, by revision.
func (c *Aggregator) SetAges(ages map[uint64]time.Duration) {
	_ = c.duty.Queue().Send(message{kind: kindAges, ages: ages})
}

// Report records the status reported by another VM.
func (c *Aggregator) Report(vm, region string, standing brstatus.Status) {
	_ = c.duty.Queue().Send(message{kind: kindReport, name: vm, region: region, standing: standing})
}

// ReportRegion records the status of another region.
func (c *Aggregator) ReportRegion(region string, standing brstatus.Status) {
	_ = c.duty.Queue().Send(message{kind: kindRegion, name: region, standing: standing})
}

// SetFleet sets the fleet status as of a time, received from the VM that this one follows.
func (c *Aggregator) SetFleet(fleet brstatus.Status, asOf time.Time) {
	_ = c.duty.Queue().Send(message{kind: kindFleet, standing: fleet, asOf: asOf})
}

// SetLeader sets whether this VM reads the store itself, so that other VMs report to it.
func (c *Aggregator) SetLeader(leads bool) {
	_ = c.duty.Queue().Send(message{kind: kindLeader, leads: leads})
}

// Leave removes this VM from the members before it stops.
func (c *Aggregator) Leave() { _ = c.duty.Queue().Send(message{kind: kindLeave}) }

// handler owns the reports of other VMs and computes the sums.
type handler struct {
	clock        brclock.Clock
	self         brfleet.VM
	reports      *braggregation.Aggregator
	subscribers  []*brring.Latest[*Summary]
	count        atomic.Pointer[Summary]
	demands      map[string]float64
	tallies      map[uint64]brstatus.Tally
	ages         map[uint64]time.Duration
	adopted      brstatus.Status
	adoptedAt    time.Time
	leads        bool
	leadsSince   time.Time
	leaving      bool
	leavingSince time.Time
	notices      *braggregation.Notices
	listener     Listener
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
	case kindAges:
		h.ages = m.ages
	case kindReport:
		h.reports.AddReport(now, m.name, m.region, m.standing)
	case kindRegion:
		h.reports.AddRegion(now, m.name, m.standing)
	case kindFleet:
		h.adopted = m.standing
		h.reports.AddStops(now, m.standing)
		h.adoptedAt = m.asOf
		h.recompute(now)
	case kindLeader:
		if m.leads && !h.leads {
			h.leadsSince = now
		}
		h.leads = m.leads
	case kindLeave:
		h.leaving, h.leavingSince = true, now
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
	if h.leaving {
		members = nil
	}
	own := brstatus.New(members, h.demands, h.agedTallies()).WithPoison(h.notices.Published(now)).WithStopping(h.leavers(now))
	h.reports.AddReport(now, h.self.Name(), h.self.Region(), own)
	count := &Summary{own: own, region: h.reports.Region(now), leads: h.leads, fleet: h.adopted, asOf: h.adoptedAt}
	if !h.usesAdopted(now) {
		count.fleet, count.asOf = h.reports.Total(now, count.region), now
	}
	h.count.Store(count)
	h.deliverNotices(now, count.fleet)
	for _, ring := range h.subscribers {
		_ = ring.Send(count)
	}
}

// deliverNotices passes new poison notices of other VMs to the listener.
func (h *handler) deliverNotices(now time.Time, fleet brstatus.Status) {
	for _, notice := range h.notices.Unseen(now, fleet.Poison()) {
		h.listener.Receive(notice)
	}
}

// leavers returns the time since this VM began to stop, or nil if it is not stopping.
func (h *handler) leavers(now time.Time) map[string]time.Duration {
	if !h.leaving {
		return nil
	}
	return map[string]time.Duration{h.self.Name(): now.Sub(h.leavingSince)}
}

func (h *handler) agedTallies() map[uint64]brstatus.Tally {
	aged := make(map[uint64]brstatus.Tally, len(h.ages))
	for revision, age := range h.ages {
		aged[revision] = h.tallies[revision].WithAge(age)
	}
	return aged
}

// usesAdopted reports whether the fleet status received from another VM is preferred to
// this VM's own sum. That holds for a follower while the status is not too old, and for
// a short time after a VM has begun to lead.
func (h *handler) usesAdopted(now time.Time) bool {
	if now.Sub(h.adoptedAt) > adoptedLifetime {
		return false
	}
	return !h.leads || now.Sub(h.leadsSince) < adoptedLifetime
}
