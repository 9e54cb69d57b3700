package brshare

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brloan"
)

// Account tracks one VM's share of one limit: the grants and loans that back it, and a
// token bucket for the rate that they allow. It is not safe for concurrent use.
type Account struct {
	limit             Limit
	ledger            *Ledger[Parts]
	bucket            *Bucket
	attempts          map[Attempt]time.Time // time of the request, until its response
	attemptCount      uint64
	lastUsed          time.Time
	lastBorrowAttempt time.Time
	lastWeight        int64
}

const (
	// idleTimeout is the time without requests after which a VM lends its whole share.
	idleTimeout = time.Second
	// borrowInterval is the minimum interval between attempts to borrow without success.
	borrowInterval = 100 * time.Millisecond
	// renewalMargin is the remaining lease at which a loan is renewed.
	renewalMargin = 2 * time.Second
	// minLease is the shortest lease of a loan that is worth a message.
	minLease = 100 * time.Millisecond
	// minLoan is the minimum number of parts that a VM lends while it uses its share.
	minLoan = Whole / 4096
	// reserveRequests is the number of requests of the latest weight for which tokens
	// must be available; with fewer tokens, or less than half of its burst, an account
	// borrows.
	reserveRequests = 4
)

// NewAccount returns an account without parts or tokens.
func NewAccount(limit Limit, now time.Time) *Account {
	return &Account{
		limit:    limit,
		ledger:   NewLedger[Parts](),
		bucket:   NewBucket(limit.Share(0), now),
		attempts: map[Attempt]time.Time{},
	}
}

// Limit returns the limit that the account shares in.
func (a *Account) Limit() Limit { return a.limit }

// Parts returns the parts that are usable at the given time.
func (a *Account) Parts(now time.Time) Parts {
	a.advance(now)
	return a.ledger.Usable()
}

// Level returns the tokens, in scaled units, that are available at the given time.
func (a *Account) Level(now time.Time) int64 {
	a.advance(now)
	return a.bucket.Level(now)
}

// Take removes weight scaled units from the bucket and reports whether it held enough.
func (a *Account) Take(weight int64, now time.Time) bool {
	a.advance(now)
	a.lastUsed, a.lastWeight = now, weight
	return a.bucket.Take(weight, now)
}

// Wait returns the time until weight units have accrued without further loans. It
// returns false if they exceed the burst of the share.
func (a *Account) Wait(weight int64, now time.Time) (time.Duration, bool) {
	a.advance(now)
	return a.bucket.Wait(weight, now)
}

// Grant sets the parts that a slot of the domain's row grants until its lease ends.
func (a *Account) Grant(slot string, parts Parts, end, now time.Time) {
	a.advance(now)
	a.ledger.Grant(slot, parts, end)
	a.advance(now)
	a.applyShare(now)
}

// SetLimit replaces the limit. Tokens are kept up to the new burst and never added.
func (a *Account) SetLimit(limit Limit, now time.Time) {
	a.advance(now)
	a.bucket.level = limit.convert(a.bucket.level, a.limit)
	a.bucket.remainder = 0
	a.limit = limit
	a.applyShare(now)
}

// LowOnTokens reports whether tokens are low while other VMs hold parts that could be
// borrowed.
func (a *Account) LowOnTokens(now time.Time) bool {
	a.advance(now)
	low := a.bucket.level < max(reserveRequests*a.lastWeight, a.bucket.share.burst/2)
	return low && a.ledger.Usable() < Whole
}

// ShouldBorrow reports whether to request loans now. While requests are unsuccessful, it
// returns true at most once per borrowInterval.
func (a *Account) ShouldBorrow(now time.Time) bool {
	if now.Sub(a.lastBorrowAttempt) < borrowInterval || !a.LowOnTokens(now) {
		return false
	}
	a.lastBorrowAttempt = now
	return true
}

// Renewals returns the loans that end soon and are in use, by this VM or by VMs that it
// has lent them on to.
func (a *Account) Renewals(now time.Time) []LoanID {
	recentlyUsed := !a.lastUsed.IsZero() && now.Sub(a.lastUsed) <= renewalMargin
	if !recentlyUsed && len(a.ledger.debts) == 0 {
		return nil
	}
	ids := []LoanID{}
	for id, loan := range a.ledger.loans {
		if loan.end.Sub(now) < renewalMargin {
			ids = append(ids, id)
		}
	}
	return ids
}

// HasNoLoans reports whether the account has neither loans nor debts.
func (a *Account) HasNoLoans(now time.Time) bool {
	a.advance(now)
	return len(a.ledger.loans) == 0 && len(a.ledger.debts) == 0
}

// DropGrants removes all grants. Parts that were lent stay lent until their lease ends.
func (a *Account) DropGrants(now time.Time) {
	a.advance(now)
	a.ledger.dropGrants()
	a.applyShare(now)
}

// BeginAttempt records a request for a new or renewed loan. It must be called before the
// message is sent, since the borrower's lease counts from this time.
func (a *Account) BeginAttempt(id LoanID, now time.Time) Attempt {
	a.attemptCount++
	attempt := Attempt{id: id, number: a.attemptCount}
	a.attempts[attempt] = now
	return attempt
}

// Lend debits and returns a loan of all parts that can be lent, or of half of them while
// this VM uses its share. A repeated ID renews the loan. Tokens are included only the
// first time; if that response is lost, so are they.
func (a *Account) Lend(id LoanID, lease time.Duration, now time.Time) Loan {
	a.advance(now)
	if debt, ok := a.ledger.debts[id]; ok {
		return a.renew(id, debt, GrantorExpiry(now, lease), now)
	}
	lease, parts := a.offer(lease, now)
	if parts <= 0 {
		return Loan{}
	}
	end := GrantorExpiry(now, lease)
	tokens := min(a.bucket.level, a.limit.BurstOf(parts))
	a.bucket.level -= tokens
	debt := entry[Parts]{amount: parts, lease: lease, end: end}
	a.ledger.lend(id, debt)
	a.applyShare(now)
	return brloan.NewLoan(parts, tokens, a.limit.tokenUnit, lease)
}

// renew extends a debt if grants and loans that last as long back it and this VM does
// not need the parts itself.
func (a *Account) renew(id LoanID, debt entry[Parts], end, now time.Time) Loan {
	backed := a.ledger.backing(end) >= a.ledger.totalDebt()
	neededHere := now.Sub(a.lastUsed) < idleTimeout && a.bucket.level < a.lastWeight
	if !backed || neededHere {
		return Loan{}
	}
	if end.After(debt.end) {
		debt.end = end
	}
	a.ledger.lend(id, debt)
	return brloan.NewLoan(debt.amount, 0, a.limit.tokenUnit, debt.lease)
}

// Borrow credits the response to an attempt and reports whether it did. Repeated, late
// and unsolicited responses are ignored.
func (a *Account) Borrow(attempt Attempt, loan Loan, now time.Time) bool {
	a.advance(now)
	requested, ok := a.attempts[attempt]
	delete(a.attempts, attempt)
	end := HolderExpiry(requested, loan.Lease())
	if !ok || loan.Parts() <= 0 || !now.Before(end) {
		return false
	}
	if existing, ok := a.ledger.loans[attempt.id]; ok && existing.end.After(end) {
		end = existing.end
	}
	a.ledger.borrow(attempt.id, entry[Parts]{amount: loan.Parts(), lease: loan.Lease(), end: end})
	a.applyShare(now)
	a.lastBorrowAttempt = time.Time{}
	if loan.TokenUnit() != a.limit.tokenUnit {
		return true
	}
	tokens := min(loan.Tokens(), a.limit.BurstOf(loan.Parts()))
	a.bucket.level = min(a.bucket.level+tokens, a.bucket.share.burst)
	return true
}

// offer returns a lease of at most the requested length and the parts to lend for it.
// Borrowed parts can be lent on only until their own lease ends, so a shorter lease is
// offered if it yields more than twice the parts.
func (a *Account) offer(lease time.Duration, now time.Time) (time.Duration, Parts) {
	parts := a.lendableParts(GrantorExpiry(now, lease), now)
	for shorter := lease / 2; shorter >= minLease; shorter /= 2 {
		if more := a.lendableParts(GrantorExpiry(now, shorter), now); more > 2*parts {
			lease, parts = shorter, more
		}
	}
	return lease, parts
}

// lendableParts returns the parts to lend until the given end: all that can be lent, or
// half of them while this VM uses its share.
func (a *Account) lendableParts(end, now time.Time) Parts {
	lendable := min(a.ledger.Lendable(end), a.ledger.Usable())
	if !a.lastUsed.IsZero() && now.Sub(a.lastUsed) < idleTimeout {
		return half(lendable)
	}
	return lendable
}

// half returns half of the parts, or 0 if that is not worth a message.
func half(parts Parts) Parts {
	if parts/2 < minLoan {
		return 0
	}
	return parts / 2
}

// advance moves the account to the given time. It processes the expiries in order, so
// that no tokens accrue on parts whose lease has ended.
func (a *Account) advance(now time.Time) {
	for a.ledger.HasExpired(now) {
		expiry := a.ledger.NextExpiry()
		a.ledger.RemoveExpired(expiry)
		a.applyShare(expiry)
	}
	a.bucket.refill(now)
}

func (a *Account) applyShare(now time.Time) {
	a.bucket.SetShare(a.limit.Share(a.ledger.Usable()), now)
}
