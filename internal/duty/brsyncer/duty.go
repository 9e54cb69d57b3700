// Package brsyncer provides the duty that keeps this VM's copy of the store's
// records up to date.
//
// It chooses the source: it either activates the reading duties of this VM, which
// poll the store, or syncs with another VM that reads the store. With each sync it
// reports this VM's status and receives changed records and the status of the fleet. A VM
// that starts may sync with a seed first, so that the store is not read by all VMs at once.
//
// # Usage
//
//	syncer := brsyncer.New(clock, self, seeds, replicator, aggregator, watchers, client, journal)
//	group.Start(syncer.Duty())
package brsyncer

import (
	"context"
	"sync/atomic"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/decide/brsource"
	"bergamotroad.example/bergamotroad/internal/decide/brusage"
	"bergamotroad.example/bergamotroad/internal/duty/braggregator"
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/duty/brreplicator"
	"bergamotroad.example/bergamotroad/internal/duty/brusagecounter"
	"bergamotroad.example/bergamotroad/internal/duty/brwatch"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brmeter"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
	"bergamotroad.example/bergamotroad/internal/model/brsync"
)

const (
	// syncWait is how long the source may hold a sync until there are changes; it
	// is also the interval at which this VM reports its status.
	syncWait = 400 * time.Millisecond
	// loadSyncWait is the same while VMs exchange the loads of servers, which change faster
	// than records.
	loadSyncWait = 200 * time.Millisecond
	// syncTimeout limits a sync beyond its wait. A VM that was offline for long
	// receives many records at once, which takes about a second on a busy slow link.
	syncTimeout = 1500 * time.Millisecond
	// checkPeriod is how often a VM that reads the store checks that the reads succeed.
	checkPeriod = 200 * time.Millisecond
	// seedTimeout is how long a starting VM waits for a seed. A seed that starts at the
	// same moment needs about half of it.
	seedTimeout = 900 * time.Millisecond
	// maxServersAge and maxOrdersAge are the ages at which a source is considered
	// stale: they allow for two failed reads of the area.
	maxServersAge = 1300 * time.Millisecond
	maxOrdersAge  = 2300 * time.Millisecond
	// searchPeriod is the time between two syncs while no fresh source is known.
	searchPeriod = 100 * time.Millisecond
	// usagePeriod is the time between two reports of usage at least. Counts that were not
	// reported are lost with the VM. A longer period would hardly cost fewer bytes: in a second,
	// most requests of a VM are of different organisations.
	usagePeriod = syncWait
)

// Client sends syncs to other VMs.
type Client interface {
	// Sync reports this VM's status to the VM at an address and returns the
	// changes after the known revisions.
	Sync(ctx context.Context, address, vm, region string, known brrecord.Revisions, wait time.Duration, report brstatus.Status) (brsync.Update, error)
}

// Syncer is the handle of the duty.
type Syncer struct {
	duty          *brduty.Duty[struct{}, struct{}]
	handler       *handler
	storeReadable *atomic.Bool
	lender        *atomic.Pointer[brfleet.VM]
}

// New returns the duty. Seeds are addresses of VMs to sync with while no registered
// VM is known.
func New(clock brclock.Clock, self brfleet.VM, seeds []string, replicator *brreplicator.Replicator, aggregator *braggregator.Aggregator, watchers []*brwatch.Watcher, client Client, journal *brjournal.Journal) *Syncer {
	h := &handler{
		clock: clock, self: self, seeds: seeds, replicator: replicator, aggregator: aggregator,
		watchers: watchers, client: client, journal: journal, chooser: brsource.New(self), source: "none", started: clock.Now(),
	}
	return &Syncer{
		duty:          brduty.New[struct{}, struct{}]("sourcing", h, clock, brduty.WithPeriod(checkPeriod)),
		handler:       h,
		storeReadable: &h.storeReadable,
		lender:        &h.lender,
	}
}

// Duty returns the runner to be passed to a brduty.Group.
func (s *Syncer) Duty() brduty.Runner { return s.duty }

// SetUsage makes the duty report the counts of a counter. It must be called before the duty
// starts.
func (s *Syncer) SetUsage(counter *brusagecounter.Counter) { s.handler.counter = counter }

// ReadsStore reports whether this VM itself reads the store successfully.
func (s *Syncer) ReadsStore() bool { return s.storeReadable.Load() }

// Lender returns the VM that lends quota to this one, if it is another VM.
func (s *Syncer) Lender() (brfleet.VM, bool) {
	vm := s.lender.Load()
	if vm == nil {
		return brfleet.VM{}, false
	}
	return *vm, true
}

// handler owns the state from which the source is chosen.
type handler struct {
	clock         brclock.Clock
	self          brfleet.VM
	seeds         []string
	replicator    *brreplicator.Replicator
	aggregator    *braggregator.Aggregator
	watchers      []*brwatch.Watcher
	client        Client
	journal       *brjournal.Journal
	chooser       *brsource.Chooser
	source        string // name of the current source
	nextTick      time.Time
	started       time.Time
	reading       bool
	storeReadable atomic.Bool
	lender        atomic.Pointer[brfleet.VM] // the VM that lends quota, or nil
	counter       *brusagecounter.Counter    // nil if usage isn't metered
	cursor        brusage.Cursor
}

// Handle does nothing: this duty receives no messages.
func (*handler) Handle(context.Context, struct{}) {}

// Update does nothing: this duty uses no snapshots.
func (*handler) Update(context.Context, struct{}) {}

// Due returns the time until the next sync or check.
func (h *handler) Due(now time.Time) (time.Duration, bool) { return h.nextTick.Sub(now), true }

// Tick chooses the source, switches this VM's reads of the store on or off, and
// syncs once with another VM if that is the source.
func (h *handler) Tick(ctx context.Context, now time.Time) {
	storeReadable := h.checkStore(now)
	h.storeReadable.Store(storeReadable)
	plan := h.chooser.Plan(now, h.candidates(), storeReadable)
	starting := h.isStarting(now)
	h.setReading(plan.Reads() && !starting)
	vm, needsSync := plan.VM()
	h.aggregator.SetLeader(plan.Leads())
	h.nextTick = now.Add(checkPeriod)
	if plan.Leads() {
		h.lender.Store(nil)
	}
	if storeReadable {
		h.setSource("store", plan.Leads())
	}
	if !needsSync {
		return
	}
	outcome := h.sync(ctx, vm, plan.MayWait() || starting)
	h.chooser.Observe(h.clock.Now(), vm, outcome)
	if outcome == brsource.Fresh {
		h.setSource(vm.Name(), false)
		h.nextTick = h.clock.Now()
		return
	}
	h.nextTick = h.clock.Now().Add(searchPeriod)
}

// checkStore reports whether this VM's own reads of the store succeed.
func (h *handler) checkStore(now time.Time) bool {
	if !h.reading {
		return false
	}
	return h.watchers[brrecord.AreaServers].Succeeded(now, maxServersAge) && h.watchers[brrecord.AreaOrders].Succeeded(now, maxOrdersAge)
}

// candidates returns the registered VMs, or the seeds while no registered VM is known.
func (h *handler) candidates() []brfleet.VM {
	vms := h.replicator.State().View().VMs()
	if len(vms) > 0 {
		return vms
	}
	for _, seed := range h.seeds {
		// The region of a seed is unknown; seeds are used if the store does not respond.
		vms = append(vms, brfleet.NewVM("seed "+seed, "", seed))
	}
	return vms
}

// isStarting reports whether the VM has just started and may load the records from a
// seed, so that the store is not read by all VMs at once.
func (h *handler) isStarting(now time.Time) bool {
	return len(h.seeds) > 0 && len(h.replicator.State().View().VMs()) == 0 && now.Sub(h.started) < seedTimeout
}

// setSource records the current source and logs a change.
func (h *handler) setSource(source string, leads bool) {
	if source == h.source {
		return
	}
	h.journal.StateChange("source changed", "from", h.source, "to", source, "leads", leads)
	h.source = source
}

func (h *handler) setReading(active bool) {
	if h.reading == active {
		return
	}
	h.reading = active
	for _, w := range h.watchers {
		w.SetActive(active)
	}
}

// sync syncs once with a VM and applies the result.
func (h *handler) sync(ctx context.Context, vm brfleet.VM, mayWait bool) brsource.Outcome {
	wait := time.Duration(0)
	switch {
	case mayWait && len(h.aggregator.Summary().Own().Servers()) > 0:
		wait = loadSyncWait
	case mayWait:
		wait = syncWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+syncTimeout)
	defer cancel()
	known := h.replicator.State().Revisions()
	update, err := h.client.Sync(ctx, vm.PeerAddress(), h.self.Name(), h.self.Region(), known, wait, h.report(vm))
	now := h.clock.Now()
	if err != nil {
		h.cursor.Fail()
		h.journal.StateChange("source lost", "source", vm.Name(), "error", err.Error())
		h.recordLender(vm, false)
		return brsource.Failed
	}
	if h.counter != nil {
		h.cursor.Confirm(update.Fleet().Usage().Run())
		h.counter.Merge(update.Fleet().Usage(), false)
	}
	h.recordLender(vm, update.IsLender())
	for _, b := range update.Batches() {
		h.replicator.Apply(b, now.Add(-b.Age()), vm.Name())
	}
	h.replicator.RecordPeer(now)
	h.aggregator.SetFleet(update.Fleet().WithUsage(brmeter.Usage{}), now.Add(-update.FleetAge()))
	if !update.ReadsStore() || !isFresh(update.Batches()) {
		return brsource.Stale
	}
	return brsource.Fresh
}

// report returns the status of this VM for another one.
func (h *handler) report(vm brfleet.VM) brstatus.Status {
	own := h.aggregator.Summary().Own()
	if h.counter == nil {
		return own
	}
	return own.WithUsage(h.counter.Report(&h.cursor, vm.PeerAddress(), usagePeriod))
}

// recordLender records whether a VM lends quota. The recorded lender stays until it
// reports otherwise, fails, or another VM takes its place.
func (h *handler) recordLender(vm brfleet.VM, lends bool) {
	if lends {
		h.lender.Store(&vm)
		return
	}
	if old := h.lender.Load(); old != nil && old.Name() == vm.Name() {
		h.lender.Store(nil)
	}
}

// isFresh reports whether the records of a source are recent enough to stay with it.
func isFresh(batches []brrecord.Batch) bool {
	count := 0
	for _, b := range batches {
		switch {
		case b.Area() == brrecord.AreaServers && b.Age() <= maxServersAge,
			b.Area() == brrecord.AreaOrders && b.Age() <= maxOrdersAge:
			count++
		}
	}
	return count == 2
}
