package brusagereporter

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"bergamotroad.example/bergamotroad/internal/decide/brusage"
	"bergamotroad.example/bergamotroad/internal/model/brmeter"
)

var (
	windowsDesc = prometheus.NewDesc("bergamotroad_usage_windows_total",
		"Windows of usage that this VM has handled, by outcome: reported in time, late, or not_reported.", []string{"outcome"}, nil)
	holdsDesc = prometheus.NewDesc("bergamotroad_usage_lease_held",
		"1 if this VM holds the lease for usage reports.", nil, nil)
	holderDesc = prometheus.NewDesc("bergamotroad_usage_lease_token",
		"Fencing token of the lease for usage reports, by the VM that holds it as last seen by this VM.", []string{"holder"}, nil)
	pendingDesc = prometheus.NewDesc("bergamotroad_usage_pending_windows",
		"Windows whose usage is fixed and not known to be accepted, as last seen by this VM.", nil, nil)
)

// status is what the metrics show. It is immutable.
type status struct {
	stats brusage.Stats
	lease brmeter.Lease
	holds bool
}

// collector reads the latest status when the metrics are scraped.
type collector struct {
	status *atomic.Pointer[status]
}

// Describe sends the descriptions of the metrics.
func (collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{windowsDesc, holdsDesc, holderDesc, pendingDesc} {
		descriptions <- d
	}
}

// Collect sends the metrics.
func (c collector) Collect(metrics chan<- prometheus.Metric) {
	s := c.status.Load()
	for outcome, count := range map[string]int{"reported": s.stats.Reported(), "late": s.stats.Late(), "not_reported": s.stats.NotReported()} {
		metrics <- prometheus.MustNewConstMetric(windowsDesc, prometheus.CounterValue, float64(count), outcome)
	}
	held := 0.0
	if s.holds {
		held = 1
	}
	metrics <- prometheus.MustNewConstMetric(holdsDesc, prometheus.GaugeValue, held)
	if s.lease.Holder() != "" {
		metrics <- prometheus.MustNewConstMetric(holderDesc, prometheus.GaugeValue, float64(s.lease.Token()), s.lease.Holder())
		metrics <- prometheus.MustNewConstMetric(pendingDesc, prometheus.GaugeValue, float64(len(s.lease.Pending())))
	}
}
