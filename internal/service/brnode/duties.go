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
		n.configuration.following.Duty(),
		n.configuration.membership.Duty(),
		n.configuration.pinging.Duty(),
		n.configuration.archiving.Duty(),
		n.configuration.witnessing.Duty(),
		n.configuration.inquiring.Duty(),
		n.shares.tenancy.Duty(),
		n.shares.lending.Duty(),
	)
}
