// Package brexchanger provides the duty that exchanges the status of this VM's region
// with one other region.
//
// Only the VM that the other VMs of its region report to does so. There is one duty
// per other region, so that a region that does not respond does not delay the
// exchanges with the rest.
//
// # Usage
//
//	exchanger := brexchanger.New(clock, self, region, replicator, aggregator, client)
//	group.Start(exchanger.Duty())
package brexchanger

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/decide/brusage"
	"bergamotroad.example/bergamotroad/internal/duty/braggregator"
	"bergamotroad.example/bergamotroad/internal/duty/brreplicator"
	"bergamotroad.example/bergamotroad/internal/duty/brusagecounter"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brmeter"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

const (
	// exchangePeriod is the time between two exchanges with a region.
	exchangePeriod = 400 * time.Millisecond
	// loadExchangePeriod is the same while VMs exchange the loads of servers, which change
	// faster than the rest of the status.
	loadExchangePeriod = 200 * time.Millisecond
	// exchangeTimeout limits one exchange; it allows for a few round trips between
	// regions.
	exchangeTimeout = 300 * time.Millisecond
	// skipTime is the time for which a VM that did not respond is skipped.
	skipTime = 3 * time.Second
	// usagePeriodPerVM, for each VM of this region, is the time between two messages with the
	// region's usage, and maxUsagePeriod the longest such time. What isn't sent is lost with
	// this VM, which counts the more the fewer VMs there are; most of a message are bytes for
	// each VM.
	usagePeriodPerVM = 100 * time.Millisecond
	maxUsagePeriod   = 1200 * time.Millisecond
)

// Client sends exchanges to other VMs.
type Client interface {
	// Exchange sends the status of a region to the VM at an address, and returns the
	// name and status of that VM's region.
	Exchange(ctx context.Context, address, region string, status brstatus.Status) (string, brstatus.Status, error)
}

// Exchanger is the handle of the duty for one other region.
type Exchanger struct {
	duty    *brduty.Duty[struct{}, struct{}]
	handler *handler
}

// New returns the duty that exchanges with the named region.
func New(clock brclock.Clock, self brfleet.VM, region string, replicator *brreplicator.Replicator, aggregator *braggregator.Aggregator, client Client) *Exchanger {
	h := &handler{
		clock: clock, self: self, region: region, replicator: replicator, aggregator: aggregator,
		client: client, skippedUntil: map[string]time.Time{},
	}
	return &Exchanger{handler: h, duty: brduty.New[struct{}, struct{}]("exchanging-"+region, h, clock, brduty.WithPeriod(exchangePeriod))}
}

// Duty returns the runner to be passed to a brduty.Group.
func (e *Exchanger) Duty() brduty.Runner { return e.duty }

// SetUsage makes the duty send the counts of a counter. It must be called before the duty
// starts.
func (e *Exchanger) SetUsage(counter *brusagecounter.Counter) { e.handler.counter = counter }

type handler struct {
	clock        brclock.Clock
	self         brfleet.VM
	region       string
	replicator   *brreplicator.Replicator
	aggregator   *braggregator.Aggregator
	client       Client
	skippedUntil map[string]time.Time
	counter      *brusagecounter.Counter // nil if usage isn't metered
	cursor       brusage.Cursor
	lastExchange time.Time
}

// Handle does nothing: this duty receives no messages.
func (*handler) Handle(context.Context, struct{}) {}

// Update does nothing: this duty uses no snapshots.
func (*handler) Update(context.Context, struct{}) {}

// Due returns the time until the next exchange while loads of servers are exchanged.
func (h *handler) Due(now time.Time) (time.Duration, bool) {
	return h.lastExchange.Add(loadExchangePeriod).Sub(now), len(h.aggregator.Summary().Region().Servers()) > 0
}

// Tick attempts one exchange, with the first VM of the region that is not skipped.
// A VM that does not respond is skipped for a while.
func (h *handler) Tick(ctx context.Context, now time.Time) {
	h.lastExchange = now
	if !h.aggregator.Summary().IsLeader() {
		return
	}
	for _, vm := range h.replicator.State().View().VMs() {
		if vm.Region() != h.region || now.Before(h.skippedUntil[vm.Name()]) {
			continue
		}
		if h.exchange(ctx, vm) {
			return
		}
		h.skippedUntil[vm.Name()] = now.Add(skipTime)
		return
	}
}

func (h *handler) exchange(ctx context.Context, vm brfleet.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	region, status, err := h.client.Exchange(ctx, vm.PeerAddress(), h.self.Region(), h.status(vm))
	if err != nil {
		h.cursor.Fail()
		return false
	}
	if h.counter != nil {
		h.cursor.Confirm(status.Usage().Run())
		h.counter.Merge(status.Usage(), false)
	}
	h.aggregator.ReportRegion(region, status.WithUsage(brmeter.Usage{}))
	return true
}

// status returns the status of this VM's region for a VM of the other one.
func (h *handler) status(vm brfleet.VM) brstatus.Status {
	region := h.aggregator.Summary().Region()
	if h.counter == nil {
		return region
	}
	period := min(time.Duration(h.counter.Snapshot().Reporters())*usagePeriodPerVM, maxUsagePeriod)
	return region.WithUsage(h.counter.Report(&h.cursor, vm.PeerAddress(), period))
}
