// Package brborrower provides the duty that borrows rate limit capacity from other
// VMs.
//
// Admission starts a search when the tokens of an organisation run low. The duty asks
// the VMs of its own failure domain, then some VMs of other failure domains, one at a
// time, until enough capacity is borrowed. It owns the record of which VM granted which
// loan. The borrowed capacity itself is owned by admission, so that a slow VM does not
// delay admission decisions.
//
// # Usage
//
//	borrower := brborrower.New(incarnation, vm, domain, clock, admission, dial)
//	admission.SetLoanFinder(borrower)
//	group.Start(borrower.Duty())
package brborrower

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
	loanTimeout   = 200 * time.Millisecond
	// skipTime is how long a VM is skipped after a failed request.
	skipTime = 2 * time.Second
)

// Lender is a client of another VM that grants loans.
type Lender interface {
	// Lend grants or renews a loan. A loan without parts is a refusal.
	Lend(ctx context.Context, request brloan.Request) (brloan.Loan, error)
}

// Dial returns a client of the VM at a peer address, host:port.
type Dial func(address string) Lender

// Accounts holds the rate limit capacity of this VM.
type Accounts interface {
	// StartAttempt records that a loan is about to be requested from another VM.
	StartAttempt(ctx context.Context, organisation string, id brloan.ID) (brshare.Attempt, error)
	// Borrow credits the granted loan and reports whether more capacity is needed.
	Borrow(ctx context.Context, organisation string, attempt brshare.Attempt, loan brloan.Loan) (bool, error)
	// FinishSearch reports that a search for loans has ended.
	FinishSearch(organisation string) error
}

type message struct {
	organisation string
	renewID      brloan.ID
}

// Borrower is the duty that borrows capacity and its API.
type Borrower struct {
	duty *brduty.Duty[message, *brconfig.Snapshot]
}

// New creates the duty without starting it. The incarnation identifies the process on
// the VM and makes loan IDs unique across restarts.
func New(incarnation, vm, domain string, clock brclock.Clock, accounts Accounts, dial Dial) *Borrower {
	h := &handler{
		incarnation: incarnation,
		vm:          vm,
		domain:      domain,
		clock:       clock,
		accounts:    accounts,
		dial:        dial,
		lenders:     map[string]Lender{},
		loans:       map[brloan.ID]loan{},
		skipUntil:   map[string]time.Time{},
	}
	return &Borrower{duty: brduty.New("lending", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithPeriod(tickPeriod))}
}

// Duty returns the duty to start.
func (b *Borrower) Duty() brduty.Runner { return b.duty }

// Snapshots returns the ring that receives configuration snapshots.
func (b *Borrower) Snapshots() *brring.Latest[*brconfig.Snapshot] { return b.duty.Snapshots() }

// FindLoans starts a search for loans for an organisation's limit and reports whether the
// search was queued.
func (b *Borrower) FindLoans(organisation string) bool {
	return b.duty.Queue().Send(message{organisation: organisation}) == nil
}

// RenewLoan queues the renewal of a loan. The renewal is dropped if the queue is full.
func (b *Borrower) RenewLoan(organisation string, id brloan.ID) {
	_ = b.duty.Queue().Send(message{organisation: organisation, renewID: id})
}

type loan struct {
	address   string
	requested time.Time
}

type handler struct {
	incarnation    string
	vm             string
	domain         string
	clock          brclock.Clock
	accounts       Accounts
	dial           Dial
	lastLoanNumber uint64
	domainView     brshare.DomainView
	lenders        map[string]Lender
	loans          map[brloan.ID]loan
	skipUntil      map[string]time.Time
}

// Handle searches for loans or renews one.
func (h *handler) Handle(ctx context.Context, m message) {
	if m.renewID != (brloan.ID{}) {
		h.renew(ctx, m)
		return
	}
	h.findLoans(ctx, m.organisation)
	_ = h.accounts.FinishSearch(m.organisation)
}

// Update applies the VMs of a new configuration.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	h.domainView = brshare.NewDomainView(snapshot, h.vm, h.domain)
	lenders := make(map[string]Lender, len(h.domainView.Lenders()))
	for _, v := range h.domainView.Lenders() {
		known, ok := h.lenders[v.PeerAddress()]
		if !ok {
			known = h.dial(v.PeerAddress())
		}
		lenders[v.PeerAddress()] = known
	}
	h.lenders = lenders
}

// Tick removes expired loans.
func (h *handler) Tick(_ context.Context, now time.Time) {
	for id, l := range h.loans {
		if now.Sub(l.requested) > 2*loanLease {
			delete(h.loans, id)
		}
	}
}

func (h *handler) findLoans(ctx context.Context, organisation string) {
	for _, v := range h.domainView.Lenders() {
		if h.clock.Now().Before(h.skipUntil[v.PeerAddress()]) {
			continue
		}
		h.lastLoanNumber++
		id := brloan.NewID(h.incarnation, h.lastLoanNumber)
		if needsMore := h.requestLoan(ctx, organisation, id, v.PeerAddress()); !needsMore || ctx.Err() != nil {
			return
		}
	}
}

func (h *handler) renew(ctx context.Context, m message) {
	if l, ok := h.loans[m.renewID]; ok && h.clock.Now().Sub(l.requested) > loanLease/4 {
		h.requestLoan(ctx, m.organisation, m.renewID, l.address)
	}
}

// requestLoan requests a loan from one VM and reports whether more capacity is needed.
func (h *handler) requestLoan(ctx context.Context, organisation string, id brloan.ID, address string) bool {
	lender, ok := h.lenders[address]
	if !ok {
		return true
	}
	attempt, err := h.accounts.StartAttempt(ctx, organisation, id)
	if err != nil {
		return false
	}
	h.loans[id] = loan{address: address, requested: h.clock.Now()}
	limited, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	granted, err := lender.Lend(limited, brloan.NewRequest(id, organisation, loanLease))
	if err != nil {
		h.skipUntil[address] = h.clock.Now().Add(skipTime)
	}
	if granted.Parts() == 0 {
		delete(h.loans, id)
	}
	needsMore, err := h.accounts.Borrow(ctx, organisation, attempt, granted)
	return err == nil && needsMore
}
