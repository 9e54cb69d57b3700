package brnode

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

var (
	ringLength = prometheus.NewDesc("bergamotroad_duty_ring_messages",
		"Messages that wait in the ring of a duty.", []string{"duty"}, nil)
	ringCapacity = prometheus.NewDesc("bergamotroad_duty_ring_capacity_messages",
		"Capacity of the ring of a duty, in messages.", []string{"duty"}, nil)
	ringDropped = prometheus.NewDesc("bergamotroad_duty_ring_dropped_messages_total",
		"Messages dropped because the ring of a duty was full.", []string{"duty"}, nil)
	frontConnections = prometheus.NewDesc("bergamotroad_front_connections",
		"Open connections of a front.", []string{"front"}, nil)
	frontRefused = prometheus.NewDesc("bergamotroad_front_refused_connections_total",
		"Connections that a front refused because a limit was reached.", []string{"front"}, nil)
	frontRunning = prometheus.NewDesc("bergamotroad_front_running_requests",
		"Requests in progress in a front.", []string{"front"}, nil)
)

// stateCollector reads the state of duties and fronts at each scrape.
type stateCollector struct {
	node *Node
}

// Describe implements prometheus.Collector.
func (*stateCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{ringLength, ringCapacity, ringDropped, frontConnections, frontRefused, frontRunning} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (c *stateCollector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value int, label string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(value), label)
	}
	for _, d := range c.node.runningDuties {
		progress := d.Progress()
		gauge(ringLength, progress.Waiting(), d.Name())
		gauge(ringCapacity, progress.Capacity(), d.Name())
		metrics <- prometheus.MustNewConstMetric(ringDropped, prometheus.CounterValue, float64(progress.Dropped()), d.Name())
	}
	for _, f := range c.node.fronts {
		open, refused := f.Connections()
		gauge(frontConnections, open, f.Name())
		gauge(frontRunning, f.Running(), f.Name())
		metrics <- prometheus.MustNewConstMetric(frontRefused, prometheus.CounterValue, float64(refused), f.Name())
	}
}

func (n *Node) metrics(others ...prometheus.Collector) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registry.MustRegister(n.distributor.Collectors()...)
	registry.MustRegister(n.configuration.membership.Collectors()...)
	registry.MustRegister(n.locator.Collectors()...)
	registry.MustRegister(n.observer.collectors()...)
	registry.MustRegister(&stateCollector{node: n})
	registry.MustRegister(others...)
	return registry
}
