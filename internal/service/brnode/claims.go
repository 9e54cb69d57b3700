package brnode

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/brclaimstore"
	"bergamotroad.example/bergamotroad/internal/duty/brsweeper"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
	"bergamotroad.example/bergamotroad/internal/service/brshutdown"
)

// drainClaimsTimeout is the longest time that a planned stop waits for the results
// of claimed requests to be written to the table.
const drainClaimsTimeout = 5 * time.Second

// claimDuties groups the duties for requests with an Idempotency-Key.
type claimDuties struct {
	store   *brclaimstore.Store
	sweeper *brsweeper.Sweeper
}

func (n *Node) addClaims(table brtable.Table) {
	n.claims.store = brclaimstore.New(table, n.clock)
	n.claims.sweeper = brsweeper.New(n.settings.VM(), n.clock, table, n.logger)
	n.distributor.Subscribe(n.claims.sweeper.Snapshots())
}

func (c claimDuties) duties() []brduty.Runner {
	return []brduty.Runner{c.store.Duty(), c.sweeper.Duty()}
}

// drainClaims returns the step that writes the pending results of claimed requests.
// The outcome of a request whose result is not written is unknown to later
// requests with the same key.
func (n *Node) drainClaims() brshutdown.Step {
	return brshutdown.NewStep("keep claims", drainClaimsTimeout+stepMargin, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, drainClaimsTimeout)
		defer cancel()
		return n.claims.store.Drain(ctx)
	})
}
