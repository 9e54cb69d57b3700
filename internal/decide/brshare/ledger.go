package brshare

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brloan"
)

// Quantity is a countable resource, such as parts of a limit, slots or bytes.
type Quantity interface {
	~int64
}

// LoanID identifies a loan.
type LoanID = brloan.ID

type entry[Q Quantity] struct {
	amount Q
	lease  time.Duration
	end    time.Time
}

// Ledger computes how much one holder may use of a quantity: the sum of its grants and
// loans minus its debts. Every entry expires with its lease.
type Ledger[Q Quantity] struct {
	grants     map[string]entry[Q]
	loans      map[LoanID]entry[Q] // borrowed
	debts      map[LoanID]entry[Q] // lent
	usable     Q
	nextExpiry time.Time
}

// NewLedger returns an empty ledger.
func NewLedger[Q Quantity]() *Ledger[Q] {
	return &Ledger[Q]{grants: map[string]entry[Q]{}, loans: map[LoanID]entry[Q]{}, debts: map[LoanID]entry[Q]{}}
}

// Usable returns the usable amount as of the last expiry or change.
func (l *Ledger[Q]) Usable() Q { return l.usable }

// NextExpiry returns the earliest expiry of an entry, or the zero time.
func (l *Ledger[Q]) NextExpiry() time.Time { return l.nextExpiry }

// HasExpired reports whether an entry has expired at the given time.
func (l *Ledger[Q]) HasExpired(now time.Time) bool {
	return !l.nextExpiry.IsZero() && !now.Before(l.nextExpiry)
}

// RemoveExpired removes the entries that have expired at the given time.
func (l *Ledger[Q]) RemoveExpired(now time.Time) {
	removeExpired(l.grants, now)
	removeExpired(l.loans, now)
	removeExpired(l.debts, now)
	l.recompute()
}

// Grant sets the amount that a slot of the platform's table grants until its lease
// ends. Callers may replace an unexpired grant only by one of the same amount, so that
// debts stay backed.
func (l *Ledger[Q]) Grant(slot string, amount Q, end time.Time) {
	l.grants[slot] = entry[Q]{amount: amount, end: end}
	l.recompute()
}

// Lendable returns the amount that can be lent until the given time: grants and loans
// that last as long, minus all debts.
func (l *Ledger[Q]) Lendable(end time.Time) Q {
	return max(l.backing(end)-l.totalDebt(), 0)
}

// backing returns the sum of the grants and loans that last until the given time.
func (l *Ledger[Q]) backing(end time.Time) Q {
	return sumUntil(l.grants, end) + sumUntil(l.loans, end)
}

// totalDebt returns the sum of all amounts that are lent.
func (l *Ledger[Q]) totalDebt() Q {
	var amount Q
	for _, d := range l.debts {
		amount += d.amount
	}
	return amount
}

func (l *Ledger[Q]) lend(id LoanID, debt entry[Q]) {
	l.debts[id] = debt
	l.recompute()
}

func (l *Ledger[Q]) borrow(id LoanID, loan entry[Q]) {
	l.loans[id] = loan
	l.recompute()
}

func (l *Ledger[Q]) dropGrants() {
	clear(l.grants)
	l.recompute()
}

// recompute recomputes the usable amount and the next expiry.
func (l *Ledger[Q]) recompute() {
	l.usable, l.nextExpiry = 0, time.Time{}
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
	if l.nextExpiry.IsZero() || end.Before(l.nextExpiry) {
		l.nextExpiry = end
	}
}

// sumUntil returns the sum of the entries that last until the given time.
func sumUntil[K comparable, Q Quantity](entries map[K]entry[Q], end time.Time) Q {
	var amount Q
	for _, e := range entries {
		if !e.end.Before(end) {
			amount += e.amount
		}
	}
	return amount
}

func removeExpired[K comparable, Q Quantity](entries map[K]entry[Q], now time.Time) {
	for key, e := range entries {
		if !now.Before(e.end) {
			delete(entries, key)
		}
	}
}
