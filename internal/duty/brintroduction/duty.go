// Package brintroduction provides the duty by which a VM that has just started learns what
// the other VMs have learned: the counts of running rollouts and the requests that crash
// servers.
//
// VMs pass this on with their reports, too. But a VM that reads the store at once reports to
// none, and the others may avoid it for some seconds, since it did not respond while it was
// down. Meanwhile they may be stopped themselves. So each VM asks a few others when it starts,
// those of its own region first.
//
// # Usage
//
//	introducer := brintroduction.New(clock, self, replicator, aggregator, client, journal)
//	group.Start(introducer.Duty())
package brintroduction

import (
	"cmp"
	"context"
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/duty/braggregator"
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/duty/brreplicator"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brmeter"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

const (
	// attemptTimeout limits one attempt; it allows for a few round trips between regions.
	attemptTimeout = 300 * time.Millisecond
	// searchTime is how long the VM looks for others that it has not asked.
	searchTime = 10 * time.Second
	// wantedVMs is the number of VMs that have to respond. One of them may have started just
	// now, too.
	wantedVMs = 3
)

// Client sends exchanges to other VMs.
type Client interface {
	// Exchange sends a status to the VM at an address, and returns the name and the status of
	// that VM's region.
	Exchange(ctx context.Context, address, region string, status brstatus.Status) (string, brstatus.Status, error)
}

// Introducer is the duty.
type Introducer struct {
	duty *brduty.Duty[struct{}, *brfleet.View]
}

// New returns the duty of a VM.
func New(clock brclock.Clock, self brfleet.VM, replicator *brreplicator.Replicator, aggregator *braggregator.Aggregator, client Client, journal *brjournal.Journal) *Introducer {
	h := &handler{
		self: self, aggregator: aggregator, client: client, journal: journal, view: &brfleet.View{},
		asked: brset.New[string](), end: clock.Now().Add(searchTime),
	}
	i := &Introducer{duty: brduty.New[struct{}, *brfleet.View]("introducing", h, clock, brduty.WithoutTicks())}
	replicator.Subscribe(i.duty.Snapshots())
	return i
}

// Duty returns the duty to start.
func (i *Introducer) Duty() brduty.Runner { return i.duty }

type handler struct {
	self       brfleet.VM
	aggregator *braggregator.Aggregator
	client     Client
	journal    *brjournal.Journal
	view       *brfleet.View
	asked      brset.Set[string] // VMs, whether they responded or not
	responded  int
	end        time.Time
}

// Handle does nothing: the duty receives no messages.
func (*handler) Handle(context.Context, struct{}) {}

// Update takes over the list of registered VMs.
func (h *handler) Update(_ context.Context, view *brfleet.View) { h.view = view }

// Due returns 0 while there is a VM to ask.
func (h *handler) Due(now time.Time) (time.Duration, bool) {
	_, found := h.choose()
	return 0, found && h.responded < wantedVMs && now.Before(h.end)
}

// Tick asks the next VM.
func (h *handler) Tick(ctx context.Context, _ time.Time) {
	vm, found := h.choose()
	if !found {
		return
	}
	h.asked.Add(vm.Name())
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	own := h.aggregator.Summary().Own()
	known := brstatus.New(nil, nil, own.Ledger()).WithCases(own.Cases())
	region, status, err := h.client.Exchange(ctx, vm.PeerAddress(), h.self.Region(), known)
	if err != nil {
		h.journal.StateChange("introduction failed", "peer", vm.Name(), "error", err.Error())
		return
	}
	h.responded++
	h.journal.StateChange("introduced", "peer", vm.Name(), "rollouts", len(status.Ledger()), "poison_requests", len(status.Cases()))
	h.aggregator.ReportRegion(region, status.WithUsage(brmeter.Usage{}))
}

// choose returns the next VM to ask: of the own region before others, and there the next one
// by name after this VM, so that VMs that start together ask different ones.
func (h *handler) choose() (brfleet.VM, bool) {
	left := []brfleet.VM{}
	for _, vm := range h.view.VMs() {
		if vm.Name() != h.self.Name() && !h.asked.Has(vm.Name()) {
			left = append(left, vm)
		}
	}
	if len(left) == 0 {
		return brfleet.VM{}, false
	}
	return slices.MinFunc(left, h.compare), true
}

// compare orders VMs by how early they are asked.
func (h *handler) compare(a, b brfleet.VM) int {
	return cmp.Or(
		-compareBool(a.Region() == h.self.Region(), b.Region() == h.self.Region()),
		-compareBool(a.Name() > h.self.Name(), b.Name() > h.self.Name()),
		cmp.Compare(a.Name(), b.Name()),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
