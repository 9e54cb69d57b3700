package brdistributor

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	generation prometheus.Gauge
	confirmed  prometheus.Gauge
	headBehind prometheus.Counter
	branched   prometheus.Counter
	refused    prometheus.Counter
}

func newMetrics() *metrics {
	return &metrics{
		generation: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bergamotroad_configuration_generation",
			Help: "Generation of the configuration in force on this VM.",
		}),
		confirmed: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bergamotroad_configuration_confirmed_timestamp_seconds",
			Help: "Unix time at which this VM's generation was last confirmed as the newest one.",
		}),
		headBehind: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bergamotroad_configuration_head_behind_total",
			Help: "Reads of a head that is older than this VM's configuration.",
		}),
		branched: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bergamotroad_configuration_branched_total",
			Help: "Heads or deltas that differ from this VM's configuration at the same generation.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bergamotroad_configuration_deltas_refused_total",
			Help: "Deltas that could not be decoded or applied.",
		}),
	}
}

// Collectors returns the Prometheus collectors of the duty.
func (d *Distributor) Collectors() []prometheus.Collector {
	m := d.handler.metrics
	return []prometheus.Collector{m.generation, m.confirmed, m.headBehind, m.branched, m.refused}
}
