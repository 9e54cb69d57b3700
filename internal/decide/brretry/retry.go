// Package brretry decides whether a request is sent again.
//
// A request that did not run may be sent again. One that may have run is sent
// again only on a route whose requests may be repeated. Both need a token of
// the route's budget, so that a failing service sees little extra load.
//
// # Usage
//
//	budget := brretry.NewBudget()
//	budget.Earn("cylinders")
//	if brretry.Allowed(brconfig.RepeatOnce, brrequest.FateNotRun) && budget.Spend("cylinders") {
//		// send again
//	}
package brretry

import (
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	// MaxAttempts bounds how often one request is sent.
	MaxAttempts = 3

	earned     = 8   // hundredths of a token, for each request
	cost       = 100 // hundredths of a token, for each retry
	initial    = 3 * cost
	maxBalance = 10 * cost
)

// Allowed reports whether a request of a route may be sent again after an
// attempt that ended with a fate.
func Allowed(repeat brconfig.Repeat, fate brrequest.Fate) bool {
	switch fate {
	case brrequest.FateNotRun:
		return true
	case brrequest.FateUnknown:
		return repeat == brconfig.RepeatAny
	default:
		return false
	}
}

// Combine returns the fate of a request after one more attempt. An attempt
// that may have run can't be undone by one that did not.
func Combine(before, attempt brrequest.Fate) brrequest.Fate {
	if before == brrequest.FateUnknown && attempt == brrequest.FateNotRun {
		return brrequest.FateUnknown
	}
	return attempt
}

// Budget holds the tokens for retries, for each route. It has one owner.
type Budget struct {
	balances map[string]int // hundredths of a token
}

// NewBudget returns a budget that gives each route a few tokens.
func NewBudget() *Budget {
	return &Budget{balances: map[string]int{}}
}

// Earn credits a route for a request.
func (b *Budget) Earn(route string) {
	b.balances[route] = min(b.balance(route)+earned, maxBalance)
}

// Spend takes a token of a route and reports whether there was one.
func (b *Budget) Spend(route string) bool {
	balance := b.balance(route)
	if balance < cost {
		return false
	}
	b.balances[route] = balance - cost
	return true
}

// Keep forgets all routes but those that listed reports.
func (b *Budget) Keep(listed func(route string) bool) {
	for route := range b.balances {
		if !listed(route) {
			delete(b.balances, route)
		}
	}
}

func (b *Budget) balance(route string) int {
	balance, ok := b.balances[route]
	if !ok {
		return initial
	}
	return balance
}
