package brproxy

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// durationBuckets are the bucket bounds of the latency histograms, in seconds. They
// are densest around the usual latency objectives of routes.
var durationBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2, 3, 5, 8}

// metrics are the proxy's metrics.
type metrics struct {
	requests  *prometheus.CounterVec
	durations *prometheus.HistogramVec
	attempts  *prometheus.HistogramVec
	running   *prometheus.GaugeVec
}

func newMetrics() metrics {
	return metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamotroad_carried_requests_total",
			Help: "Requests, by route, fate and reason.",
		}, []string{"route", "fate", "reason"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bergamotroad_carried_request_duration_seconds",
			Help: "Time from the arrival of a request's header to the end of its response.", Buckets: durationBuckets,
		}, []string{"fate"}),
		attempts: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bergamotroad_attempt_duration_seconds",
			Help: "Duration of one attempt at a backend server.", Buckets: durationBuckets,
		}, []string{"outcome"}),
		running: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bergamotroad_attempts_in_progress",
			Help: "Attempts at backend servers that are in progress, by service.",
		}, []string{"service"}),
	}
}

func (m metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.requests, m.durations, m.attempts, m.running}
}

// startAttempt counts an attempt as in progress until the returned function is called.
func (m metrics) startAttempt(service string) func() {
	running := m.running.WithLabelValues(service)
	running.Inc()
	return running.Dec
}

func (m metrics) observeAttempt(kind brrequest.OutcomeKind, duration time.Duration) {
	m.attempts.WithLabelValues(string(kind)).Observe(duration.Seconds())
}

// recordResult counts a finished request and logs its result with the data on which the
// decisions about it were based.
func (p *Proxy) recordResult(j *job, result Result) {
	duration := p.clock.Now().Sub(j.arrived)
	p.metrics.requests.WithLabelValues(j.route.Name(), string(result.fate), string(result.reason)).Inc()
	p.metrics.durations.WithLabelValues(string(result.fate)).Observe(duration.Seconds())
	logResult, outcome := p.journal.Failure, "refused"
	switch {
	case result.started && result.reason == brrequest.ReasonNone:
		logResult, outcome = p.journal.Decision, "answered"
	case result.fate != brrequest.FateNotRun:
		outcome = "failed"
	}
	logResult(j.request.ID(), outcome, "fate", string(result.fate), "reason", string(result.reason), "status", result.status,
		"route", j.route.Name(), "organisation", j.organisation.Name(), "service", j.service, "object", j.request.Object(),
		"server", j.choice.Server().ID(), "server_region", j.choice.Server().Region(), "place", j.choice.Rank(),
		"among", j.choice.Candidates(), "load", rounded(j.choice.Load()), "busy", rounded(j.choice.Utilisation()),
		"tries", j.tries, "took_ms", duration.Milliseconds(),
		"retry_after_ms", result.retryAfter.Milliseconds(), "configuration", j.version,
		"configuration_age_ms", j.policyAge.Milliseconds(), "servers_age_ms", j.serversAge.Milliseconds())
}

// rounded rounds a load to the two decimals that the log shows.
func rounded(load float64) float64 { return math.Round(load*100) / 100 }
