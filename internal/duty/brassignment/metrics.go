package brassignment

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// minPublishInterval is the minimum interval between updates of the gauge of running
// requests. While requests wait there are up to 67 ticks a second, and the counts of all
// servers are added up.
const minPublishInterval = 500 * time.Millisecond

// Values of the metric's label for what servers say in their responses.
const (
	noticeLeaving = "leaving"
	noticeQuiet   = "quiet"
)

// metrics are the duty's metrics.
type metrics struct {
	notices     *prometheus.CounterVec
	running     *prometheus.GaugeVec
	failing     *prometheus.GaugeVec
	services    map[string]int // in the gauge
	publishedAt time.Time
}

func newMetrics() metrics {
	return metrics{
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamotroad_server_notices_total",
			Help: "Responses by which a server said that it shuts down (leaving), or for how long it wants no requests (quiet).",
		}, []string{"notice"}),
		running: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bergamotroad_server_running_requests",
			Help: "Requests of this VM at backend servers, as counted for the choice of servers, within the last two seconds.",
		}, []string{"service"}),
		failing: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bergamotroad_failing_servers",
			Help: "Backend servers that fail by the outcomes of all VMs, for services whose loads VMs exchange.",
		}, []string{"service"}),
	}
}

func (m *metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.notices, m.running, m.failing}
}

// publishRunning updates the gauge of running requests, unless it was updated just before.
func (m *metrics) publishRunning(now time.Time, count func() map[string]int) {
	if now.Sub(m.publishedAt) < minPublishInterval {
		return
	}
	m.publishedAt = now
	services := count()
	for service := range m.services {
		if _, ok := services[service]; !ok {
			m.running.DeleteLabelValues(service)
		}
	}
	for service, requests := range services {
		m.running.WithLabelValues(service).Set(float64(requests))
	}
	m.services = services
}
