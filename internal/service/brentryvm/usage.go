package brentryvm

import (
	"crypto/rand"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/duty/brusagecounter"
	"bergamotroad.example/bergamotroad/internal/duty/brusagereporter"
)

// runLength is the length of the identifier of a run, in characters of 5 bits each.
const runLength = 10

// addUsage adds the duties of usage metering, if it is enabled.
func (v *VM) addUsage(adapter Adapter) {
	if !v.config.metering.Enabled() || adapter.billing == nil {
		return
	}
	steady, name := brclock.NewBootTime(), v.config.self.Name()
	v.counter = brusagecounter.New(v.clock, steady, v.config.metering, name, rand.Text()[:runLength])
	v.reporter = brusagereporter.New(v.clock, steady, v.config.metering, name, v.counter, v.aggregator, adapter.leases, adapter.billing, v.journal)
	v.duties = append(v.duties, v.counter.Duty())
	v.duties = append(v.duties, v.reporter.Duties()...)
	v.collectors = append(v.collectors, v.reporter.Collectors()...)
}

// leaveUsage gives the lease for usage reports up, if this VM holds it.
func (v *VM) leaveUsage() {
	if v.reporter != nil {
		v.reporter.Leave()
	}
}
