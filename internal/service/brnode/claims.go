package brnode

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/brclaiming"
	"bergamotroad.example/bergamotroad/internal/duty/brsweeping"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
	"bergamotroad.example/bergamotroad/internal/service/brstop"
)

// keepClaimsTimeout is the longest time that a planned stop waits for the results of
// claimed requests to be written to the table.
const keepClaimsTimeout = 5 * time.Second

// claims groups the duties for requests with an Idempotency-Key.
type claims struct {
	claiming *brclaiming.Claiming
	sweeping *brsweeping.Sweeping
}

func (n *Node) addClaims(table brtable.Table) {
	n.claims.claiming = brclaiming.New(table, n.clock)
	n.claims.sweeping = brsweeping.New(n.settings.VM(), n.clock, table, n.logger)
	n.spreading.Subscribe(n.claims.sweeping.Snapshots())
}

func (c claims) duties() []brduty.Runner {
	return []brduty.Runner{c.claiming.Duty(), c.sweeping.Duty()}
}

// keepClaims returns the step that writes the pending results of claimed requests.
// The outcome of a request whose result is not written is unknown to later
// requests with the same key.
func (n *Node) keepClaims() brstop.Step {
	return brstop.NewStep("keep claims", keepClaimsTimeout+stepMargin, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, keepClaimsTimeout)
		defer cancel()
		return n.claims.claiming.Drain(ctx)
	})
}
