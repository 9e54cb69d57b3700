package brmembership

import (
	"github.com/prometheus/client_golang/prometheus"

	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

type metrics struct {
	members *prometheus.GaugeVec
}

func newMetrics() *metrics {
	return &metrics{members: prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "bergamotroad_members",
		Help: "Entry VMs by their liveness state as seen by this VM.",
	}, []string{"state"})}
}

func (m *metrics) update(list brmember.List) {
	counts := map[brmember.State]int{}
	for _, member := range list.All() {
		counts[member.State()]++
	}
	for _, state := range []brmember.State{brmember.StateAlive, brmember.StateSuspected, brmember.StateDead, brmember.StateLeft} {
		m.members.WithLabelValues(state.String()).Set(float64(counts[state]))
	}
}

// Collectors returns the Prometheus collectors of the duty.
func (m *Membership) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.handler.metrics.members}
}
