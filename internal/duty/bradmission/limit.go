package bradmission

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/decide/brshare"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brloan"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// minRetryAfter is the retry delay sent to callers when the burst of this VM's share is
// smaller than the weight of the request, so that a loan is needed first.
const minRetryAfter = time.Second

// LoanFinder requests loans of capacity from other VMs. Its methods do not block.
type LoanFinder interface {
	// FindLoans starts a search for loans for an organisation's limit and reports whether
	// the search was queued.
	FindLoans(organisation string) bool
	// RenewLoan queues the renewal of a loan.
	RenewLoan(organisation string, id brloan.ID)
}

// limits holds the rate limit accounts of the organisations that have a contract.
type limits struct {
	clock      brclock.Clock
	loanFinder LoanFinder
	accounts   map[string]*account
	grants     map[string]brshare.Grant
	revoked    bool
}

type account struct {
	*brshare.Account
	contract  bool
	searching bool
}

func newLimits(clock brclock.Clock) *limits {
	return &limits{clock: clock, accounts: map[string]*account{}, grants: map[string]brshare.Grant{}}
}

// update applies the contracts of a configuration. The account of a deleted contract
// is kept while loans are outstanding.
func (l *limits) update(snapshot *brconfig.Snapshot) {
	now := l.clock.Now()
	for _, a := range l.accounts {
		a.contract = false
	}
	for c := range snapshot.Contracts().All() {
		unit, _ := snapshot.Units().Get(c.Unit()).Get()
		limit, err := brshare.NewLimit(c, unit)
		if err != nil {
			limit = brshare.Limit{}
		}
		l.put(c.Organisation(), limit, now)
	}
	for name, a := range l.accounts {
		if !a.contract && a.HasNoLoans(now) {
			delete(l.accounts, name)
		}
	}
}

func (l *limits) put(organisation string, limit brshare.Limit, now time.Time) {
	if a, ok := l.accounts[organisation]; ok {
		a.contract = true
		a.SetLimit(limit, now)
		return
	}
	a := &account{Account: brshare.NewAccount(limit, now), contract: true}
	for _, g := range l.grants {
		a.Grant(g.Slot(), g.Parts(), g.End(), now)
	}
	l.accounts[organisation] = a
}

// charge takes the weight of a request from the share and returns a refusal if there
// are not enough tokens. An organisation without a contract has no limit.
func (l *limits) charge(organisation string, route brconfig.Route) (brrequest.Decision, bool) {
	a, ok := l.accounts[organisation]
	if !ok || !a.contract {
		return brrequest.Decision{}, false
	}
	now := l.clock.Now()
	weight := a.Limit().Weight(route.Name())
	if weight > 0 && a.Take(weight, now) {
		l.searchLoans(organisation, a, now)
		return brrequest.Decision{}, false
	}
	l.searchLoans(organisation, a, now)
	return brrequest.Refuse(brrequest.ReasonOverRate, organisation, retryAfter(a, weight, now)), true
}

func (l *limits) searchLoans(organisation string, a *account, now time.Time) {
	if l.loanFinder != nil && !a.searching && a.ShouldBorrow(now) {
		a.searching = l.loanFinder.FindLoans(organisation)
	}
}

// retryAfter returns the time until the share has enough tokens for the weight, or 0
// if the weight exceeds the burst of the limit.
func retryAfter(a *account, weight int64, now time.Time) time.Duration {
	if weight <= 0 || weight > a.Limit().Burst() {
		return 0
	}
	if wait, ok := a.Wait(weight, now); ok {
		return wait
	}
	return minRetryAfter
}

func (l *limits) grant(grants []brshare.Grant) {
	now := l.clock.Now()
	if l.revoked {
		return
	}
	for _, g := range grants {
		l.grants[g.Slot()] = g
		for _, a := range l.accounts {
			a.Grant(g.Slot(), g.Parts(), g.End(), now)
		}
	}
}

// revokeGrants gives up all grants and reports whether no loans are outstanding.
func (l *limits) revokeGrants() bool {
	now := l.clock.Now()
	l.revoked = true
	clear(l.grants)
	settled := true
	for _, a := range l.accounts {
		a.DropGrants(now)
		settled = a.HasNoLoans(now) && settled
	}
	return settled
}

func (l *limits) lend(request brloan.Request) brloan.Loan {
	a, ok := l.accounts[request.Organisation()]
	if !ok {
		return brloan.Loan{}
	}
	return a.Lend(request.ID(), request.Lease(), l.clock.Now())
}

// renew requests the renewal of loans that expire soon.
func (l *limits) renew(now time.Time) {
	if l.loanFinder == nil {
		return
	}
	for organisation, a := range l.accounts {
		for _, id := range a.Renewals(now) {
			l.loanFinder.RenewLoan(organisation, id)
		}
	}
}
