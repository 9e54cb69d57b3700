package brnode

import (
	"bergamotroad.example/bergamotroad/internal/core/brduty"
)

func (n *Node) duties() []brduty.Runner {
	return append(append(n.requests.duties(), n.claims.duties()...),
		n.timeline.Duty(),
		n.certificateReloader().Duty(),
		n.admission.Duty(),
		n.balancer.Duty(),
		n.proposalWriter.Duty(),
		n.locator.Duty(),
		n.distributor.Duty(),
		n.revoker.Duty(),
		n.poller.Duty(),
		n.writeLimiter.Duty(),
		n.configuration.follower.Duty(),
		n.configuration.membership.Duty(),
		n.configuration.pinger.Duty(),
		n.configuration.archiver.Duty(),
		n.configuration.attester.Duty(),
		n.configuration.confirmer.Duty(),
		n.shares.holder.Duty(),
		n.shares.borrower.Duty(),
	)
}
