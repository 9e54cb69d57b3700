package brnode

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"bergamotroad.example/bergamotroad/internal/duty/brborrower"
	"bergamotroad.example/bergamotroad/internal/duty/brlease"
	"bergamotroad.example/bergamotroad/internal/peer/brentry"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

// returnSharesTimeout is the longest time that a planned stop waits until loans to
// other VMs have expired and the shares are returned.
const returnSharesTimeout = 5 * time.Second

// shareDuties groups the duties that hold this VM's shares of rate limits.
type shareDuties struct {
	holder   *brlease.Holder
	borrower *brborrower.Borrower
}

func (n *Node) addShares() {
	platform := n.settings.Platform()
	client := &http.Client{Transport: n.connector.Transport()}
	table := brtable.NewClient(&http.Client{}, platform.Table(), platform.Timeout())
	incarnation := uuid.NewString()
	vm, domain := n.settings.VM(), n.settings.Domain()
	n.shares.holder = brlease.New(incarnation, vm, domain, n.clock, table, n.admission, n.logger)
	n.shares.borrower = brborrower.New(incarnation, vm, domain, n.clock, n.admission, func(address string) brborrower.Lender {
		return brentry.NewPeer(client, "http://"+address)
	})
	n.admission.SetLoanFinder(n.shares.borrower)
	n.distributor.Subscribe(n.shares.holder.Snapshots())
	n.distributor.Subscribe(n.shares.borrower.Snapshots())
}

// returnShares returns this VM's shares, so that other VMs can use them before the
// leases expire.
func (n *Node) returnShares(ctx context.Context) {
	releaseCtx, cancel := context.WithTimeout(ctx, returnSharesTimeout)
	defer cancel()
	if err := n.shares.holder.Release(releaseCtx); err != nil {
		n.logger.Warn("could not return shares; they stay unused until their leases expire", "error", err)
	}
}
