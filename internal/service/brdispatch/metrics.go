package brdispatch

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// reasonNone is the reason label of requests that were neither refused nor failed.
const reasonNone = "none"

// durationBuckets are the upper bounds of the histogram, in seconds.
var durationBuckets = []float64{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60}

// Instrumented wraps a dispatcher with metrics of callers' requests.
type Instrumented struct {
	clock    brclock.Clock
	next     *Dispatcher
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

// NewInstrumented wraps next with metrics.
func NewInstrumented(clock brclock.Clock, next *Dispatcher) *Instrumented {
	return &Instrumented{
		clock: clock,
		next:  next,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamotroad_requests_total",
			Help: "Requests from callers, by fate and reason.",
		}, []string{"fate", "reason"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bergamotroad_request_duration_seconds",
			Help:    "Time from the header of a request to the end of its response, by fate.",
			Buckets: durationBuckets,
		}, []string{"fate"}),
	}
}

// Dispatch passes a request to the dispatcher and records its result.
func (i *Instrumented) Dispatch(ctx context.Context, request brrequest.Request, call brmessage.Call, writer Writer) Result {
	start := i.clock.Now()
	result := i.next.Dispatch(ctx, request, call, writer)
	fate := string(result.Fate())
	i.requests.WithLabelValues(fate, reasonLabel(result.Reason())).Inc()
	i.duration.WithLabelValues(fate).Observe(i.clock.Now().Sub(start).Seconds())
	return result
}

func reasonLabel(reason brrequest.Reason) string {
	if reason == brrequest.ReasonNone {
		return reasonNone
	}
	return string(reason)
}

// Collectors returns the collectors to register.
func (i *Instrumented) Collectors() []prometheus.Collector {
	return []prometheus.Collector{i.requests, i.duration}
}
