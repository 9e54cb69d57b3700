// Package brlease provides the duty that leases rate limit capacity for this VM in the
// platform's table.
//
// The row of a failure domain divides the domain's capacity into leased slots. The duty
// reads the row periodically, renews and acquires slots by compare-and-set, and passes
// the leased capacity to admission. Only this duty waits for the table; admission checks
// at the time of use that a lease has not expired.
//
// # Usage
//
//	holder := brlease.New(incarnation, vm, domain, clock, table, admission, logger)
//	group.Start(holder.Duty())
//	err := holder.Release(ctx) // on graceful shutdown
package brlease

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brshare"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

const (
	tickPeriod = 500 * time.Millisecond
	// noFloorPeriod is the interval between reads of the row while the VM has no floor, its
	// guaranteed minimum share.
	noFloorPeriod = time.Second
	// idlePeriod is the interval between reads of the row on a VM that is not a candidate
	// to hold the pool.
	idlePeriod = time.Minute
	// maxAttempts bounds the attempts to update the row after conflicting writes.
	maxAttempts = 4
)

// Accounts holds the rate limit capacity of this VM.
type Accounts interface {
	// Grant applies the capacity of leased slots.
	Grant(grants []brshare.Grant) error
	// RevokeGrants gives up all granted capacity and reports whether no loans from or to
	// other VMs are outstanding.
	RevokeGrants(ctx context.Context) (bool, error)
}

type message struct {
	reply brring.Reply[bool]
}

// Holder is the duty and its client methods, which may be called concurrently.
type Holder struct {
	duty    *brduty.Duty[message, *brconfig.Snapshot]
	clock   brclock.Clock
	replies *brring.ReplyPool[bool]
}

// New creates the duty without starting it. The incarnation identifies the process on
// the VM.
func New(incarnation, vm, domain string, clock brclock.Clock, table brtable.Table, accounts Accounts, logger *log.Logger) *Holder {
	h := &handler{
		vm:       vm,
		domain:   domain,
		clock:    clock,
		table:    table,
		accounts: accounts,
		logger:   logger,
		slots:    brshare.NewSlotManager(incarnation, vm, brshare.DefaultLeaseSettings()),
	}
	return &Holder{
		duty:    brduty.New("tenancy", h, clock, brduty.WithPeriod(tickPeriod)),
		clock:   clock,
		replies: brring.NewReplyPool[bool](),
	}
}

// Duty returns the duty to start.
func (h *Holder) Duty() brduty.Runner { return h.duty }

// Snapshots returns the ring that receives configuration snapshots.
func (h *Holder) Snapshots() *brring.Latest[*brconfig.Snapshot] { return h.duty.Snapshots() }

// Release gives up all capacity and releases the slots once all outstanding loans have
// expired. No requests may be admitted after it is called.
func (h *Holder) Release(ctx context.Context) error {
	timer := h.clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return errors.Errorf("release leased capacity: %w", context.Cause(ctx))
		case <-timer.C():
		}
		done, err := brring.Ask(ctx, h.duty.Queue(), h.replies, func(reply brring.Reply[bool]) message {
			return message{reply: reply}
		})
		if err != nil {
			return errors.Errorf("release leased capacity: %w", err)
		}
		if done {
			return nil
		}
		timer.Reset(tickPeriod)
	}
}

type handler struct {
	vm         string
	domain     string
	clock      brclock.Clock
	table      brtable.Table
	accounts   Accounts
	logger     *log.Logger
	slots      *brshare.SlotManager
	domainView brshare.DomainView
	ready      bool
	nextUpdate time.Time
	leaving    bool
}

// Handle tries to release the slots and answers whether that is complete.
func (h *handler) Handle(ctx context.Context, m message) {
	h.leaving = true
	h.slots.StopClaiming()
	m.reply.Answer(h.release(ctx))
}

// Update applies the VMs and failure domains of a new configuration.
func (h *handler) Update(ctx context.Context, snapshot *brconfig.Snapshot) {
	h.domainView = brshare.NewDomainView(snapshot, h.vm, h.domain)
	if !h.ready {
		h.ready = true
		h.Tick(ctx, h.clock.Now())
	}
}

// Tick reads and updates the row of the failure domain when due.
func (h *handler) Tick(ctx context.Context, now time.Time) {
	if !h.ready || h.leaving || h.domainView.Target() == 0 || now.Before(h.nextUpdate) {
		return
	}
	hasFloor, err := h.updateRow(ctx)
	if err != nil && ctx.Err() == nil {
		h.logger.Warn("failed to update leased capacity", "domain", h.domain, "error", err)
	}
	h.nextUpdate = now.Add(h.period(hasFloor))
}

func (h *handler) period(hasFloor bool) time.Duration {
	switch {
	case !hasFloor:
		return noFloorPeriod
	case h.domainView.PoolCandidate():
		return brshare.DefaultRowUpdatePeriod
	default:
		return idlePeriod
	}
}

func (h *handler) release(ctx context.Context) bool {
	settled, err := h.accounts.RevokeGrants(ctx)
	if err != nil || !settled {
		return false
	}
	state, err := h.read(ctx)
	if err == nil {
		err = h.commit(ctx, state, h.slots.ReleaseSlots(state.row))
	}
	if err != nil {
		h.logger.Warn("failed to release leased capacity; leases will expire", "domain", h.domain, "error", err)
	}
	return true
}
