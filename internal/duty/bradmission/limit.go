package bradmission

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/decide/brshare"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brloan"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// leastRetryAfter is told to callers whose share holds fewer tokens than a
// request weighs, so that a loan has to come first.
const leastRetryAfter = time.Second

// Seeker looks for loans. Its methods do not wait.
type Seeker interface {
	// Seek looks for loans of an organisation's limit and reports whether it will.
	Seek(organisation string) bool
	// Renew renews a loan.
	Renew(organisation string, id brloan.ID)
}

// limits are the accounts of the organisations that have a contract.
type limits struct {
	clock    brclock.Clock
	seeker   Seeker
	accounts map[string]*account
	grants   map[string]brshare.Grant
	left     bool
}

type account struct {
	*brshare.Account
	contract bool
	seeking  bool
}

func newLimits(clock brclock.Clock) *limits {
	return &limits{clock: clock, accounts: map[string]*account{}, grants: map[string]brshare.Grant{}}
}

// update takes the contracts of a configuration. The account of a contract
// that is gone is kept while anything is borrowed or lent.
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
		if !a.contract && a.Idle(now) {
			delete(l.accounts, name)
		}
	}
}

func (l *limits) put(organisation string, limit brshare.Limit, now time.Time) {
	if a, ok := l.accounts[organisation]; ok {
		a.contract = true
		a.Change(limit, now)
		return
	}
	a := &account{Account: brshare.NewAccount(limit, now), contract: true}
	for _, g := range l.grants {
		a.Grant(g.Slot(), g.Parts(), g.End(), now)
	}
	l.accounts[organisation] = a
}

// refuse takes the weight of a request and returns the refusal where there is
// too little. An organisation without contract has no limit.
func (l *limits) refuse(organisation string, route brconfig.Route) (brrequest.Verdict, bool) {
	a, ok := l.accounts[organisation]
	if !ok || !a.contract {
		return brrequest.Verdict{}, false
	}
	now := l.clock.Now()
	weight := a.Limit().Weight(route.Name())
	if weight > 0 && a.Take(weight, now) {
		l.seek(organisation, a, now)
		return brrequest.Verdict{}, false
	}
	l.seek(organisation, a, now)
	return brrequest.Refuse(brrequest.ReasonOverRate, organisation, retryAfter(a, weight, now)), true
}

func (l *limits) seek(organisation string, a *account, now time.Time) {
	if l.seeker != nil && !a.seeking && a.Low(now) {
		a.seeking = l.seeker.Seek(organisation)
	}
}

// retryAfter returns the time after which the share holds the weight, or 0
// where even the whole burst never does.
func retryAfter(a *account, weight int64, now time.Time) time.Duration {
	if weight <= 0 || weight > a.Limit().Burst() {
		return 0
	}
	if wait, ok := a.Wait(weight, now); ok {
		return wait
	}
	return leastRetryAfter
}

func (l *limits) grant(grants []brshare.Grant) {
	now := l.clock.Now()
	if l.left {
		return
	}
	for _, g := range grants {
		l.grants[g.Slot()] = g
		for _, a := range l.accounts {
			a.Grant(g.Slot(), g.Parts(), g.End(), now)
		}
	}
}

// surrender gives up all grants and reports whether nothing is lent any more.
func (l *limits) surrender() bool {
	now := l.clock.Now()
	l.left = true
	clear(l.grants)
	settled := true
	for _, a := range l.accounts {
		a.Surrender(now)
		settled = a.Idle(now) && settled
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

// renew asks for the renewal of loans that end soon.
func (l *limits) renew(now time.Time) {
	if l.seeker == nil {
		return
	}
	for organisation, a := range l.accounts {
		for _, id := range a.Renewals(now) {
			l.seeker.Renew(organisation, id)
		}
	}
}
