package brlocator

import (
	"github.com/prometheus/client_golang/prometheus"

	"bergamotroad.example/bergamotroad/internal/model/brlocation"
)

// Values of the result label.
const (
	resultAnswered = "answered"
	resultEmpty    = "empty"   // the response names no VM
	resultRefused  = "refused" // the duty's queue is full or the duty has ended
)

type metrics struct {
	answered prometheus.Counter
	empty    prometheus.Counter
	refused  prometheus.Counter
	lookups  *prometheus.CounterVec
}

func newMetrics() *metrics {
	lookups := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bergamotroad_lookups_total",
		Help: "Look-ups of callers by result.",
	}, []string{"result"})
	return &metrics{
		lookups:  lookups,
		answered: lookups.WithLabelValues(resultAnswered),
		empty:    lookups.WithLabelValues(resultEmpty),
		refused:  lookups.WithLabelValues(resultRefused),
	}
}

func (m *metrics) count(response brlocation.Response, err error) {
	switch {
	case err != nil:
		m.refused.Inc()
	case len(response.VMs()) == 0:
		m.empty.Inc()
	default:
		m.answered.Inc()
	}
}

// Collectors returns the metrics of the duty.
func (l *Locator) Collectors() []prometheus.Collector {
	return []prometheus.Collector{l.metrics.lookups}
}
