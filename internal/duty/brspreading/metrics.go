package brspreading

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
			Help: "Generation of the configuration that is in force on this VM.",
		}),
		confirmed: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bergamotroad_configuration_confirmed_timestamp_seconds",
			Help: "When the generation was last known to be the newest one.",
		}),
		headBehind: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bergamotroad_configuration_head_behind_total",
			Help: "Readings of a head that is older than what this VM holds.",
		}),
		branched: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bergamotroad_configuration_branched_total",
			Help: "Heads or deltas of a known generation that differ from what this VM holds.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bergamotroad_configuration_deltas_refused_total",
			Help: "Deltas that could not be read or applied.",
		}),
	}
}

// Collectors returns the metrics of the duty.
func (s *Spreading) Collectors() []prometheus.Collector {
	m := s.handler.metrics
	return []prometheus.Collector{m.generation, m.confirmed, m.headBehind, m.branched, m.refused}
}
