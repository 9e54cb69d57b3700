package brnode

import (
	"bergamotroad.example/bergamotroad/internal/core/brduty"
)

func (n *Node) duties() []brduty.Runner {
	return append(append(n.requests.duties(), n.claims.duties()...),
		n.timeline.Duty(),
		n.certificates().Duty(),
		n.admission.Duty(),
		n.balancing.Duty(),
		n.moving.Duty(),
		n.steering.Duty(),
		n.spreading.Duty(),
		n.revoking.Duty(),
		n.polling.Duty(),
		n.writing.Duty(),
		n.spread.following.Duty(),
		n.spread.membership.Duty(),
		n.spread.pinging.Duty(),
		n.spread.archiving.Duty(),
		n.spread.witnessing.Duty(),
		n.spread.inquiring.Duty(),
		n.shares.tenancy.Duty(),
		n.shares.lending.Duty(),
	)
}
