// Package brlending provides the duty that asks other VMs for loans.
//
// Admission tells it which organisation's tokens run low. It asks the VMs of
// its failure domain, then some of others, one after the other, until the
// limit is covered. It owns who lent what; what may be used is owned by
// admission, so that a slow VM delays no decision.
//
// # Usage
//
//	lending := brlending.New(settings, clock, admission, dial)
//	admission.SeekFrom(lending)
//	group.Start(lending.Duty())
package brlending

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brshare"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brloan"
)

const (
	queueCapacity = 1024 // searches
	tickPeriod    = time.Second
	loanLease     = 3 * time.Second
	askTimeout    = 200 * time.Millisecond
	// avoidTime is how long a VM that did not answer is not asked.
	avoidTime = 2 * time.Second
)

// Lender is another VM.
type Lender interface {
	// Lend gives or renews a loan; a loan without parts is a refusal.
	Lend(ctx context.Context, request brloan.Request) (brloan.Loan, error)
}

// Dial returns the VM at a peer address, host:port.
type Dial func(address string) Lender

// Accounts hold what this VM may use.
type Accounts interface {
	// Ask notes that another VM is about to be asked for a loan.
	Ask(ctx context.Context, organisation string, id brloan.ID) (brshare.Attempt, error)
	// Borrow credits the answer and reports whether more is needed.
	Borrow(ctx context.Context, organisation string, attempt brshare.Attempt, loan brloan.Loan) (bool, error)
	// Sought tells that a search for loans has ended.
	Sought(organisation string) error
}

type message struct {
	organisation string
	renewed      brloan.ID
}

// Lending is the duty with the calls that reach it.
type Lending struct {
	duty *brduty.Duty[message, *brconfig.Snapshot]
}

// New returns the duty of a process, named by its incarnation, on a VM of a
// failure domain.
func New(incarnation, vm, domain string, clock brclock.Clock, accounts Accounts, dial Dial) *Lending {
	h := &handler{
		incarnation: incarnation,
		vm:          vm,
		domain:      domain,
		clock:       clock,
		accounts:    accounts,
		dial:        dial,
		lenders:     map[string]Lender{},
		loans:       map[brloan.ID]loan{},
		avoided:     map[string]time.Time{},
	}
	return &Lending{duty: brduty.New("lending", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithPeriod(tickPeriod))}
}

// Duty returns the duty to be started.
func (l *Lending) Duty() brduty.Runner { return l.duty }

// Snapshots returns the ring that takes the configuration.
func (l *Lending) Snapshots() *brring.Latest[*brconfig.Snapshot] { return l.duty.Snapshots() }

// Seek looks for loans of an organisation's limit and reports whether it will.
func (l *Lending) Seek(organisation string) bool {
	return l.duty.Queue().Send(message{organisation: organisation}) == nil
}

// Renew renews a loan.
func (l *Lending) Renew(organisation string, id brloan.ID) {
	_ = l.duty.Queue().Send(message{organisation: organisation, renewed: id})
}

type loan struct {
	address string
	asked   time.Time
}

type handler struct {
	incarnation string
	vm          string
	domain      string
	clock       brclock.Clock
	accounts    Accounts
	dial        Dial
	number      uint64
	roster      brshare.Roster
	lenders     map[string]Lender
	loans       map[brloan.ID]loan
	avoided     map[string]time.Time
}

// Handle looks for loans or renews one.
func (h *handler) Handle(ctx context.Context, m message) {
	if m.renewed != (brloan.ID{}) {
		h.renew(ctx, m)
		return
	}
	h.seek(ctx, m.organisation)
	_ = h.accounts.Sought(m.organisation)
}

// Update takes the VMs of a new configuration.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	h.roster = brshare.NewRoster(snapshot, h.vm, h.domain)
	lenders := make(map[string]Lender, len(h.roster.Lenders()))
	for _, v := range h.roster.Lenders() {
		known, ok := h.lenders[v.PeerAddress()]
		if !ok {
			known = h.dial(v.PeerAddress())
		}
		lenders[v.PeerAddress()] = known
	}
	h.lenders = lenders
}

// Tick forgets loans that have lapsed.
func (h *handler) Tick(_ context.Context, now time.Time) {
	for id, l := range h.loans {
		if now.Sub(l.asked) > 2*loanLease {
			delete(h.loans, id)
		}
	}
}

func (h *handler) seek(ctx context.Context, organisation string) {
	for _, v := range h.roster.Lenders() {
		if h.clock.Now().Before(h.avoided[v.PeerAddress()]) {
			continue
		}
		h.number++
		id := brloan.NewID(h.incarnation, h.number)
		if short := h.attempt(ctx, organisation, id, v.PeerAddress()); !short || ctx.Err() != nil {
			return
		}
	}
}

func (h *handler) renew(ctx context.Context, m message) {
	if l, ok := h.loans[m.renewed]; ok && h.clock.Now().Sub(l.asked) > loanLease/4 {
		h.attempt(ctx, m.organisation, m.renewed, l.address)
	}
}

// attempt asks one VM and reports whether more is needed.
func (h *handler) attempt(ctx context.Context, organisation string, id brloan.ID, address string) bool {
	lender, ok := h.lenders[address]
	if !ok {
		return true
	}
	attempt, err := h.accounts.Ask(ctx, organisation, id)
	if err != nil {
		return false
	}
	h.loans[id] = loan{address: address, asked: h.clock.Now()}
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	given, err := lender.Lend(limited, brloan.NewRequest(id, organisation, loanLease))
	if err != nil {
		h.avoided[address] = h.clock.Now().Add(avoidTime)
	}
	if given.Parts() == 0 {
		delete(h.loans, id)
	}
	short, err := h.accounts.Borrow(ctx, organisation, attempt, given)
	return err == nil && short
}
