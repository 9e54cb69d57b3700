package brentryvm

import (
	"fmt"
	"io"
	"log"

	"github.com/prometheus/client_golang/prometheus"

	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
)

func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// dutyObserver logs stalls and panics of duties.
type dutyObserver struct {
	journal *brjournal.Journal
}

// DutyStalled logs a duty that takes no messages from its ring although some wait.
func (o *dutyObserver) DutyStalled(name string, waiting int) {
	o.journal.StateChange("duty stalled", "duty", name, "waiting", waiting)
}

// DutyPanicked logs the panic of a duty.
func (o *dutyObserver) DutyPanicked(name string, value any, stack []byte) {
	o.journal.StateChange("duty panicked", "duty", name, "value", fmt.Sprint(value), "stack", string(stack))
}

var (
	recordAge = prometheus.NewDesc("bergamotroad_records_age_seconds",
		"Time since the records of an area of the store were known to be complete.", []string{"area"}, nil)
	storeEra = prometheus.NewDesc("bergamotroad_store_era",
		"How often the store has returned from an older copy, as of the records of an area; 0 if it doesn't tell.", []string{"area"}, nil)
	policyVersion = prometheus.NewDesc("bergamotroad_configuration_version",
		"Version of the configuration in force.", nil, nil)
	liveVMs = prometheus.NewDesc("bergamotroad_live_vms",
		"Entry VMs that are considered alive and serving.", nil, nil)
	ringLength = prometheus.NewDesc("bergamotroad_duty_ring_messages",
		"Messages waiting in a duty's ring.", []string{"duty"}, nil)
	ringDropped = prometheus.NewDesc("bergamotroad_duty_ring_dropped_messages_total",
		"Messages dropped because a duty's ring was full.", []string{"duty"}, nil)
	frontConnections = prometheus.NewDesc("bergamotroad_front_connections",
		"Open connections of clients.", []string{"front"}, nil)
	frontRefused = prometheus.NewDesc("bergamotroad_front_refused_connections_total",
		"Connections closed because of the limits, in total or for one address.", []string{"front"}, nil)
)

// collector reads the VM's state when its metrics are scraped.
type collector struct {
	vm *VM
}

// Describe sends the descriptions of the metrics.
func (*collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{recordAge, storeEra, policyVersion, liveVMs, ringLength, ringDropped, frontConnections, frontRefused} {
		descriptions <- d
	}
}

// Collect sends the metrics.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	state := c.vm.replicator.State()
	now := c.vm.clock.Now()
	for area := range brrecord.AreaCount {
		if state.IsKnown(area) {
			age := state.Age(now, area).Seconds()
			metrics <- prometheus.MustNewConstMetric(recordAge, prometheus.GaugeValue, age, area.String())
			era := float64(state.Revisions()[area].Era())
			metrics <- prometheus.MustNewConstMetric(storeEra, prometheus.GaugeValue, era, area.String())
		}
	}
	version := float64(state.View().Policy().Version())
	metrics <- prometheus.MustNewConstMetric(policyVersion, prometheus.GaugeValue, version)
	live := float64(len(c.vm.aggregator.Summary().Fleet().Members()))
	metrics <- prometheus.MustNewConstMetric(liveVMs, prometheus.GaugeValue, live)
	for _, d := range append([]brduty.Runner{c.vm.journal.Duty()}, c.vm.duties...) {
		progress := d.Progress()
		metrics <- prometheus.MustNewConstMetric(ringLength, prometheus.GaugeValue, float64(progress.Waiting()), d.Name())
		metrics <- prometheus.MustNewConstMetric(ringDropped, prometheus.CounterValue, float64(progress.Dropped()), d.Name())
	}
	for name, guard := range c.vm.guards {
		open, refused := guard.Connections()
		metrics <- prometheus.MustNewConstMetric(frontConnections, prometheus.GaugeValue, float64(open), name)
		metrics <- prometheus.MustNewConstMetric(frontRefused, prometheus.CounterValue, float64(refused), name)
	}
}
