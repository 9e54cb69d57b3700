// Package brregistration provides the duty that keeps this VM registered in the store, so
// that other VMs find it, until it leaves.
//
// It periodically checks the replicated records and writes the registration again if it is
// missing or differs.
//
// # Usage
//
//	registrar := brregistration.New(clock, self, registry, replicator, journal)
//	group.Start(registrar.Duty())
//	err := registrar.Deregister(ctx) // on graceful shutdown
package brregistration

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/duty/brreplicator"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/peer/brregistry"
)

const (
	// checkPeriod is the interval between checks of the registration.
	checkPeriod = 500 * time.Millisecond
	// replicationTime is how long a written registration may take to be replicated back to
	// this VM. It is not written again within that time.
	replicationTime = 3 * time.Second
)

// Registrar is the duty and its client methods, which may be called concurrently.
type Registrar struct {
	duty     *brduty.Duty[struct{}, struct{}]
	self     brfleet.VM
	registry brregistry.Registry
	leaving  *atomic.Bool
}

// New returns the duty of a VM.
func New(clock brclock.Clock, self brfleet.VM, registry brregistry.Registry, replicator *brreplicator.Replicator, journal *brjournal.Journal) *Registrar {
	h := &handler{clock: clock, self: self, registry: registry, replicator: replicator, journal: journal}
	return &Registrar{
		duty:     brduty.New[struct{}, struct{}]("registering", h, clock, brduty.WithPeriod(checkPeriod)),
		self:     self,
		registry: registry,
		leaving:  &h.leaving,
	}
}

// Duty returns the duty for a group to start.
func (r *Registrar) Duty() brduty.Runner { return r.duty }

// Deregister removes the registration and stops the duty from renewing it.
func (r *Registrar) Deregister(ctx context.Context) error {
	r.leaving.Store(true)
	if err := r.registry.RemoveVM(ctx, r.self.Name()); err != nil {
		return errors.Errorf("remove registration: %w", err)
	}
	return nil
}

type handler struct {
	clock      brclock.Clock
	self       brfleet.VM
	registry   brregistry.Registry
	replicator *brreplicator.Replicator
	journal    *brjournal.Journal
	leaving    atomic.Bool
	lastWrite  time.Time
}

// Handle does nothing: the duty receives no messages.
func (*handler) Handle(context.Context, struct{}) {}

// Update does nothing: the duty uses no snapshots.
func (*handler) Update(context.Context, struct{}) {}

// Tick registers the VM if its registration is missing or differs.
func (h *handler) Tick(ctx context.Context, now time.Time) {
	state := h.replicator.State()
	if h.leaving.Load() || !state.IsKnown(brrecord.AreaVMs) || now.Sub(h.lastWrite) < replicationTime {
		return
	}
	if h.isRegistered(state) {
		return
	}
	if err := h.registry.PutVM(ctx, h.self); err != nil {
		h.journal.StateChange("registration failed", "error", err.Error())
		return
	}
	h.lastWrite = h.clock.Now()
	h.journal.StateChange("registered", "incarnation", h.self.Incarnation())
}

// isRegistered reports whether the store has the registration.
func (h *handler) isRegistered(state *brreplicator.State) bool {
	if state.HasLostVM(h.self.Name()) {
		return false
	}
	for _, vm := range state.View().VMs() {
		if vm.Name() == h.self.Name() && vm == h.expected(vm) {
			return true
		}
	}
	return false
}

// expected returns the registration that is expected in place of the found one. The
// incarnation may be that of an earlier run: a registration with the same addresses is
// still valid after a restart.
func (h *handler) expected(found brfleet.VM) brfleet.VM {
	return h.self.WithIncarnation(found.Incarnation())
}
