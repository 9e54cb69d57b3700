// Package brentryvm assembles an entry VM for the users' platform from its duties,
// its clients of other peers and its HTTP servers.
//
// An entry VM takes requests from callers and forwards them to backend servers. The
// adapter supplies the parts that depend on the platform.
//
// # Usage
//
//	vm, err := brentryvm.New(site, adapter, brclock.NewSystem(), os.Stdout)
//	err = vm.Run(ctx)
package brentryvm

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/decide/brpoison"
	"bergamotroad.example/bergamotroad/internal/duty/brcounting"
	"bergamotroad.example/bergamotroad/internal/duty/brexchanging"
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/duty/brjudging"
	"bergamotroad.example/bergamotroad/internal/duty/brmetering"
	"bergamotroad.example/bergamotroad/internal/duty/brplacing"
	"bergamotroad.example/bergamotroad/internal/duty/brpoisoning"
	"bergamotroad.example/bergamotroad/internal/duty/brreading"
	"bergamotroad.example/bergamotroad/internal/duty/brrecording"
	"bergamotroad.example/bergamotroad/internal/duty/brregistering"
	"bergamotroad.example/bergamotroad/internal/duty/brreloading"
	"bergamotroad.example/bergamotroad/internal/duty/brreplicating"
	"bergamotroad.example/bergamotroad/internal/duty/brsourcing"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/peer/brentry"
	"bergamotroad.example/bergamotroad/internal/peer/brregistry"
	"bergamotroad.example/bergamotroad/internal/service/brcarrier"
	"bergamotroad.example/bergamotroad/internal/service/brmeter"
)

const (
	// memoryLimitFraction is the Go runtime's soft memory limit, as a fraction of the VM's
	// memory.
	memoryLimitFraction = 0.6
)

// VM is an entry VM.
type VM struct {
	site        Config
	clock       brclock.Clock
	journal     *brjournal.Journal
	replicating *brreplicating.Replicator
	counting    *brcounting.Aggregator
	sourcing    *brsourcing.Syncer
	registering *brregistering.Registrar
	metering    *brmetering.Enforcer
	client      *brentry.SyncClient
	reloading   *brreloading.Reloader
	bounds      atomic.Pointer[brfleet.Bounds]
	duties      []brduty.Runner
	servers     []*http.Server
	listeners   []net.Listener
	closeConns  func()
	leaving     atomic.Bool
}

// New returns a VM that listens on its addresses; it serves only once Run is called.
func New(site Config, adapter Adapter, clock brclock.Clock, output io.Writer) (*VM, error) {
	if site.memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(site.memory)))
	}
	v := &VM{site: site, clock: clock, journal: brjournal.New(clock, site.self.Name(), output)}
	v.setBounds(site.bounds)
	v.replicating = brreplicating.New(clock, adapter.decoder, v.journal)
	v.counting = brcounting.New(clock, site.self)
	v.registering = brregistering.New(clock, site.self, adapter.registry, v.replicating, v.journal)
	v.reloading = brreloading.New(clock, adapter.settings, v.setBounds, v.journal)
	v.duties = []brduty.Runner{v.journal.Duty(), v.replicating.Duty(), v.counting.Duty(), v.registering.Duty(), v.reloading.Duty()}
	v.addSources(adapter.registry)
	carrier := v.addCarrier(adapter)
	if err := v.listen(adapter.fronts, carrier); err != nil {
		v.close()
		return nil, err
	}
	return v, nil
}

// addSources adds the duties that read the store and synchronise with other VMs.
func (v *VM) addSources(registry brregistry.Registry) {
	readers := []*brreading.Watcher{}
	for area := range brrecord.AreaCount {
		reader := brreading.New(v.clock, area, registry, v.replicating, v.journal)
		readers = append(readers, reader)
		v.duties = append(v.duties, reader.Duty())
	}
	v.client = brentry.NewSyncClient(brentry.NewPlainConnector())
	v.sourcing = brsourcing.New(v.clock, v.site.self, v.site.seeds, v.replicating, v.counting, readers, v.client, v.journal)
	v.duties = append(v.duties, v.sourcing.Duty())
	for _, region := range otherRegions(v.site) {
		v.duties = append(v.duties, brexchanging.New(v.clock, v.site.self, region, v.replicating, v.counting, v.client).Duty())
	}
}

// addCarrier adds the duties that take part in handling requests.
func (v *VM) addCarrier(adapter Adapter) *brcarrier.Proxy {
	poisoning := brpoisoning.New[brpoison.ConcurrentPolicy](v.clock, eventLogger{journal: v.journal}, v.counting)
	v.counting.SetListener(poisoning)
	placing := brplacing.New(v.clock, v.site.self, v.counting, poisoning)
	v.replicating.Subscribe(placing.Views())
	v.metering = brmetering.New(v.clock, v.site.self.Name(), v.site.bounds, v.counting, v.replicating)
	recording := brrecording.New(v.clock, adapter.registry, v.journal)
	judging := brjudging.New(v.clock, v.site.self, v.Bounds, v.replicating, v.counting, placing, recording, v.journal)
	v.duties = append(v.duties, poisoning.Duty(), placing.Duty(), v.metering.Duty(), recording.Duty(), judging.Duty())
	meter := brmeter.New(v.clock, v.site.self.Name(), v.metering, v.sourcing, v.client)
	return brcarrier.New(v.clock, v.replicating, meter, placing, poisoning, adapter.upstream, v.journal)
}

func otherRegions(site Config) []string {
	regions := brset.New(slices.Collect(maps.Values(site.regions))...)
	regions.Remove(site.self.Region())
	return brset.Sorted(regions)
}

// Run serves until the context ends, and then shuts down gracefully. It returns early
// with an error if a duty panics or a server fails.
func (v *VM) Run(ctx context.Context) error {
	// The duties outlive the context, so that requests in flight can finish.
	group := brduty.NewGroup(context.WithoutCancel(ctx), v.clock, &dutyObserver{journal: v.journal})
	group.Start(v.duties...)
	defer group.Stop()
	failures := make(chan error, len(v.servers))
	for i, server := range v.servers {
		go func() {
			if err := server.Serve(v.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				failures <- errors.Errorf("serve: %w", err)
			}
		}()
	}
	v.journal.StateChange("VM started", "domain", v.site.self.Domain(), "region", v.site.self.Region(),
		"incarnation", v.site.self.Incarnation())
	select {
	case <-ctx.Done():
		return v.stop()
	case <-group.Context().Done():
		return errors.Errorf("duty ended: %w", context.Cause(group.Context()))
	case err := <-failures:
		return err
	}
}

// Reload reloads the settings.
func (v *VM) Reload() { v.reloading.Reload() }

// Bounds returns the operators' current settings for the fleet.
func (v *VM) Bounds() brfleet.Bounds { return *v.bounds.Load() }

func (v *VM) setBounds(bounds brfleet.Bounds) { v.bounds.Store(&bounds) }

// Ready reports whether the VM can forward requests.
func (v *VM) Ready() bool {
	state := v.replicating.State()
	return !v.leaving.Load() && state.View().Policy().Known() && state.IsKnown(brrecord.AreaServers)
}
