// Package brtenancy provides the duty that holds slots of the limits in the
// platform's table.
//
// It visits the row of its failure domain, renews and takes slots by
// compare-and-set, and tells admission what they give. Only this duty waits
// for the table; admission checks the leases at the moment of use.
//
// # Usage
//
//	tenancy := brtenancy.New(incarnation, vm, domain, clock, table, admission, logger)
//	group.Start(tenancy.Duty())
//	err := tenancy.HandBack(ctx) // at a planned stop
package brtenancy

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
	// settlePeriod is the time between visits while the VM has no floor.
	settlePeriod = time.Second
	// idlePeriod is the time between visits of a VM that is no candidate for the pool.
	idlePeriod = time.Minute
	// maxAttempts bounds how often a visit is tried again after a race.
	maxAttempts = 4
)

// Accounts hold what this VM may use.
type Accounts interface {
	// Grant tells what slots give.
	Grant(grants []brshare.Grant) error
	// Surrender gives up all parts and reports whether none is lent any more.
	Surrender(ctx context.Context) (bool, error)
}

type message struct {
	reply brring.Reply[bool]
}

// Tenancy is the duty with the calls that reach it.
type Tenancy struct {
	duty     *brduty.Duty[message, *brconfig.Snapshot]
	clock    brclock.Clock
	booleans *brring.ReplyPool[bool]
}

// New returns the duty of a process, named by its incarnation, on a VM of a
// failure domain.
func New(incarnation, vm, domain string, clock brclock.Clock, table brtable.Table, accounts Accounts, logger *log.Logger) *Tenancy {
	h := &handler{
		vm:       vm,
		domain:   domain,
		clock:    clock,
		table:    table,
		accounts: accounts,
		logger:   logger,
		tenancy:  brshare.NewTenancy(incarnation, vm, brshare.DefaultTerms()),
	}
	return &Tenancy{
		duty:     brduty.New("tenancy", h, clock, brduty.WithPeriod(tickPeriod)),
		clock:    clock,
		booleans: brring.NewReplyPool[bool](),
	}
}

// Duty returns the duty to be started.
func (t *Tenancy) Duty() brduty.Runner { return t.duty }

// Snapshots returns the ring that takes the configuration.
func (t *Tenancy) Snapshots() *brring.Latest[*brconfig.Snapshot] { return t.duty.Snapshots() }

// HandBack gives up all parts and gives the slots back once what was lent has
// lapsed. Nothing may be admitted any more.
func (t *Tenancy) HandBack(ctx context.Context) error {
	timer := t.clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return errors.Errorf("hand back shares: %w", context.Cause(ctx))
		case <-timer.C():
		}
		done, err := brring.Ask(ctx, t.duty.Queue(), t.booleans, func(reply brring.Reply[bool]) message {
			return message{reply: reply}
		})
		if err != nil {
			return errors.Errorf("hand back shares: %w", err)
		}
		if done {
			return nil
		}
		timer.Reset(tickPeriod)
	}
}

type handler struct {
	vm       string
	domain   string
	clock    brclock.Clock
	table    brtable.Table
	accounts Accounts
	logger   *log.Logger
	tenancy  *brshare.Tenancy
	roster   brshare.Roster
	ready    bool
	due      time.Time
	left     bool
}

// Handle tries to hand back and answers whether that is done.
func (h *handler) Handle(ctx context.Context, m message) {
	h.left = true
	h.tenancy.Leave()
	m.reply.Answer(h.handBack(ctx))
}

// Update takes the VMs and failure domains of a new configuration.
func (h *handler) Update(ctx context.Context, snapshot *brconfig.Snapshot) {
	h.roster = brshare.NewRoster(snapshot, h.vm, h.domain)
	if !h.ready {
		h.ready = true
		h.Tick(ctx, h.clock.Now())
	}
}

// Tick visits the row when that is due.
func (h *handler) Tick(ctx context.Context, now time.Time) {
	if !h.ready || h.left || h.roster.Target() == 0 || now.Before(h.due) {
		return
	}
	floored, err := h.visit(ctx)
	if err != nil && ctx.Err() == nil {
		h.logger.Warn("visit of shares failed", "domain", h.domain, "error", err)
	}
	h.due = now.Add(h.period(floored))
}

func (h *handler) period(floored bool) time.Duration {
	switch {
	case !floored:
		return settlePeriod
	case h.roster.Candidate():
		return brshare.DefaultVisitPeriod
	default:
		return idlePeriod
	}
}

func (h *handler) handBack(ctx context.Context) bool {
	settled, err := h.accounts.Surrender(ctx)
	if err != nil || !settled {
		return false
	}
	visit, err := h.read(ctx)
	if err == nil {
		err = h.commit(ctx, visit, h.tenancy.Vacate(visit.row))
	}
	if err != nil {
		h.logger.Warn("shares were not handed back, they lapse", "domain", h.domain, "error", err)
	}
	return true
}
