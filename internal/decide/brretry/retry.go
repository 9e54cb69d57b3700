// Package brretry decides whether a request is retried.
//
// A request that did not run may be retried. One that may have run is retried only
// on a route whose requests may be repeated. Each retry takes a token from the retry
// budget of the route, and each request earns a fraction of a token, so that retries
// add little load to a failing service.
//
// # Usage
//
//	budget := brretry.NewBudget()
//	budget.Earn("cylinders")
//	if brretry.Allowed(brconfig.RepeatOnce, brrequest.FateNotRun) && budget.Spend("cylinders") {
//		// send the request again
//	}
package brretry

import (
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	// MaxAttempts is the maximum number of times that one request is sent.
	MaxAttempts = 3

	creditPerRequest = 8   // hundredths of a token
	costPerRetry     = 100 // hundredths of a token
	initialBalance   = 3 * costPerRetry
	maxBalance       = 10 * costPerRetry
)

// Allowed reports whether a request may be retried after an attempt with the given
// fate.
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

// Combine returns the fate of a request after another attempt. If an earlier attempt
// may have run, the fate stays unknown when the new attempt did not run.
func Combine(before, attempt brrequest.Fate) brrequest.Fate {
	if before == brrequest.FateUnknown && attempt == brrequest.FateNotRun {
		return brrequest.FateUnknown
	}
	return attempt
}

// Budget holds the retry tokens of each route. It is not safe for concurrent use.
type Budget struct {
	balances map[string]int // hundredths of a token
}

// NewBudget returns a budget in which each route starts with a few tokens.
func NewBudget() *Budget {
	return &Budget{balances: map[string]int{}}
}

// Earn credits a route with a fraction of a token for a request.
func (b *Budget) Earn(route string) {
	b.balances[route] = min(b.balance(route)+creditPerRequest, maxBalance)
}

// Spend takes a token from a route and reports whether one was available.
func (b *Budget) Spend(route string) bool {
	balance := b.balance(route)
	if balance < costPerRetry {
		return false
	}
	b.balances[route] = balance - costPerRetry
	return true
}

// Refund returns the token of a retry that was not sent.
func (b *Budget) Refund(route string) {
	b.balances[route] = min(b.balance(route)+costPerRetry, maxBalance)
}

// Keep removes the budgets of all routes for which listed returns false.
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
		return initialBalance
	}
	return balance
}
