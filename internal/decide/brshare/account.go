package brshare

import "time"

// Loan is what a lender gives: parts of a limit, with tokens that have accrued
// on them, for as long as a lease.
type Loan struct {
	parts  Parts
	tokens int64
	lease  time.Duration
}

// NewLoan returns a loan as read from a message.
func NewLoan(parts Parts, tokens int64, lease time.Duration) Loan {
	return Loan{parts: parts, tokens: tokens, lease: lease}
}

// Parts returns the parts that are lent.
func (l Loan) Parts() Parts { return l.parts }

// Tokens returns the scaled units that come with the parts.
func (l Loan) Tokens() int64 { return l.tokens }

// Lease returns how long the loan may be used, counted from before it was asked for.
func (l Loan) Lease() time.Duration { return l.lease }

// Account is what one VM may use of one limit. It has one owner.
type Account struct {
	limit  Limit
	ledger *Ledger[Parts]
	bucket *Bucket
	asked  map[LoanID]time.Time
	used   time.Time
}

// idleAfter is the time without a request after which a VM lends all it has.
const idleAfter = time.Second

// NewAccount returns an account without parts and tokens.
func NewAccount(limit Limit, now time.Time) *Account {
	return &Account{
		limit:  limit,
		ledger: NewLedger[Parts](),
		bucket: NewBucket(limit.Share(0), now),
		asked:  map[LoanID]time.Time{},
	}
}

// Limit returns the limit.
func (a *Account) Limit() Limit { return a.limit }

// Parts returns the parts that may be used at the time.
func (a *Account) Parts(now time.Time) Parts {
	a.advance(now)
	return a.ledger.Usable()
}

// Level returns the scaled units that may be used at the time.
func (a *Account) Level(now time.Time) int64 {
	a.advance(now)
	return a.bucket.Level(now)
}

// Take uses weight scaled units and reports whether there were enough.
func (a *Account) Take(weight int64, now time.Time) bool {
	a.advance(now)
	a.used = now
	return a.bucket.Take(weight, now)
}

// Wait returns how long it takes until weight units are there without loans,
// and false where the share never holds so many.
func (a *Account) Wait(weight int64, now time.Time) (time.Duration, bool) {
	a.advance(now)
	return a.bucket.Wait(weight, now)
}

// Grant sets the parts that a slot gives until its lease ends.
func (a *Account) Grant(slot string, parts Parts, end, now time.Time) {
	a.advance(now)
	a.ledger.Grant(slot, parts, end)
	a.advance(now)
	a.share(now)
}

// Change replaces the limit. Tokens are kept up to the new burst; none are added.
func (a *Account) Change(limit Limit, now time.Time) {
	a.advance(now)
	a.bucket.level = limit.convert(a.bucket.level, a.limit)
	a.bucket.remainder = 0
	a.limit = limit
	a.share(now)
}

// Ask notes that a loan is asked for at the time, before the message is sent.
func (a *Account) Ask(id LoanID, now time.Time) {
	a.asked[id] = now
}

// Forget ends the wait for a loan; a late answer is then left unused.
func (a *Account) Forget(id LoanID) {
	delete(a.asked, id)
}

// Lend debits and returns a loan of up to wanted tokens with the parts that
// bear them. The same message again gets the same loan.
func (a *Account) Lend(id LoanID, wanted int64, lease time.Duration, now time.Time) Loan {
	a.advance(now)
	if debt, ok := a.ledger.debts[id]; ok {
		return NewLoan(debt.amount, debt.tokens, debt.lease)
	}
	end := GiverEnd(now, lease)
	parts := a.partsFor(wanted, end, now)
	if parts <= 0 {
		return Loan{}
	}
	tokens := min(a.bucket.level, a.limit.BurstOf(parts))
	a.bucket.level -= tokens
	a.ledger.lend(id, entry[Parts]{amount: parts, tokens: tokens, lease: lease, end: end})
	a.share(now)
	return NewLoan(parts, tokens, lease)
}

// Borrow credits a loan that was asked for and reports whether it did. Repeated,
// late and unasked answers change nothing.
func (a *Account) Borrow(id LoanID, loan Loan, now time.Time) bool {
	a.advance(now)
	asked, ok := a.asked[id]
	delete(a.asked, id)
	end := HolderEnd(asked, loan.lease)
	if !ok || loan.parts <= 0 || !now.Before(end) {
		return false
	}
	a.ledger.borrow(id, entry[Parts]{amount: loan.parts, tokens: loan.tokens, lease: loan.lease, end: end})
	a.share(now)
	a.bucket.level = min(a.bucket.level+min(loan.tokens, a.limit.BurstOf(loan.parts)), a.bucket.share.burst)
	return true
}

// partsFor returns all that can be lent where the VM is idle, else half.
func (a *Account) partsFor(wanted int64, end, now time.Time) Parts {
	lendable := min(a.ledger.Lendable(end), a.ledger.Usable())
	if wanted <= 0 {
		return 0
	}
	if !a.used.IsZero() && now.Sub(a.used) < idleAfter {
		return lendable / 2
	}
	return lendable
}

// advance brings the account to the time, one lapsed lease after the other, so
// that nothing accrues on parts whose lease has ended.
func (a *Account) advance(now time.Time) {
	for a.ledger.Due(now) {
		lapsed := a.ledger.Next()
		a.bucket.refill(lapsed)
		a.ledger.Lapse(lapsed)
		a.share(lapsed)
	}
	a.bucket.refill(now)
}

func (a *Account) share(now time.Time) {
	a.bucket.Change(a.limit.Share(a.ledger.Usable()), now)
}
