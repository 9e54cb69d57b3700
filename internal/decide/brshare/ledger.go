package brshare

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brloan"
)

// Quantity is what a ledger counts: parts of a limit, slots, bytes.
type Quantity interface {
	~int64
}

// LoanID names a loan.
type LoanID = brloan.ID

type entry[Q Quantity] struct {
	amount Q
	lease  time.Duration
	end    time.Time
}

// Ledger is what one holder may use of a quantity: what it was granted and has
// borrowed, less what it has lent. Every entry ends with its lease.
type Ledger[Q Quantity] struct {
	grants map[string]entry[Q]
	loans  map[LoanID]entry[Q] // borrowed
	debts  map[LoanID]entry[Q] // lent
	usable Q
	next   time.Time
}

// NewLedger returns an empty ledger.
func NewLedger[Q Quantity]() *Ledger[Q] {
	return &Ledger[Q]{grants: map[string]entry[Q]{}, loans: map[LoanID]entry[Q]{}, debts: map[LoanID]entry[Q]{}}
}

// Usable returns what may be used after the last call of Lapse or a change.
func (l *Ledger[Q]) Usable() Q { return l.usable }

// Next returns the earliest end of an entry, or the zero time.
func (l *Ledger[Q]) Next() time.Time { return l.next }

// Due reports whether an entry has ended at the time.
func (l *Ledger[Q]) Due(now time.Time) bool {
	return !l.next.IsZero() && !now.Before(l.next)
}

// Lapse removes the entries that have ended at the time.
func (l *Ledger[Q]) Lapse(now time.Time) {
	lapse(l.grants, now)
	lapse(l.loans, now)
	lapse(l.debts, now)
	l.sum()
}

// Grant sets what a slot of the platform's table gives, until its lease ends.
// A grant that has not lapsed is replaced only by one of the same amount, so
// that what was lent stays backed.
func (l *Ledger[Q]) Grant(slot string, amount Q, end time.Time) {
	l.grants[slot] = entry[Q]{amount: amount, end: end}
	l.sum()
}

// Lendable returns what can be lent until a time: what grants and loans give
// that last as long, less all that is lent.
func (l *Ledger[Q]) Lendable(end time.Time) Q {
	return max(l.backing(end)-l.lent(), 0)
}

// backing returns what grants and loans give that last until a time.
func (l *Ledger[Q]) backing(end time.Time) Q {
	return lasting(l.grants, end) + lasting(l.loans, end)
}

func (l *Ledger[Q]) lent() Q {
	var amount Q
	for _, d := range l.debts {
		amount += d.amount
	}
	return amount
}

func (l *Ledger[Q]) lend(id LoanID, debt entry[Q]) {
	l.debts[id] = debt
	l.sum()
}

func (l *Ledger[Q]) borrow(id LoanID, loan entry[Q]) {
	l.loans[id] = loan
	l.sum()
}

func (l *Ledger[Q]) surrender() {
	clear(l.grants)
	l.sum()
}

// sum computes anew what is usable and when that changes next.
func (l *Ledger[Q]) sum() {
	l.usable, l.next = 0, time.Time{}
	for _, g := range l.grants {
		l.add(g.amount, g.end)
	}
	for _, b := range l.loans {
		l.add(b.amount, b.end)
	}
	for _, d := range l.debts {
		l.add(-d.amount, d.end)
	}
	l.usable = max(l.usable, 0)
}

func (l *Ledger[Q]) add(amount Q, end time.Time) {
	l.usable += amount
	if l.next.IsZero() || end.Before(l.next) {
		l.next = end
	}
}

func lasting[K comparable, Q Quantity](entries map[K]entry[Q], end time.Time) Q {
	var amount Q
	for _, e := range entries {
		if !e.end.Before(end) {
			amount += e.amount
		}
	}
	return amount
}

func lapse[K comparable, Q Quantity](entries map[K]entry[Q], now time.Time) {
	for key, e := range entries {
		if !now.Before(e.end) {
			delete(entries, key)
		}
	}
}
