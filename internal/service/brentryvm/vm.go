// Package brentryvm assembles an entry VM for the users' platform from its duties,
// its clients for other peers and its HTTP servers.
//
// An entry VM takes requests from callers and forwards them to backend servers. The
// adapter supplies the parts that depend on the platform.
//
// # Usage
//
//	vm, err := brentryvm.New(config, adapter, brclock.NewSystem(), os.Stdout)
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
	"github.com/prometheus/client_golang/prometheus"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/decide/brconnection"
	"bergamotroad.example/bergamotroad/internal/decide/brmemory"
	"bergamotroad.example/bergamotroad/internal/decide/brpoison"
	"bergamotroad.example/bergamotroad/internal/duty/braggregator"
	"bergamotroad.example/bergamotroad/internal/duty/brallowance"
	"bergamotroad.example/bergamotroad/internal/duty/brassignment"
	"bergamotroad.example/bergamotroad/internal/duty/brcanary"
	"bergamotroad.example/bergamotroad/internal/duty/brexchanger"
	"bergamotroad.example/bergamotroad/internal/duty/brintroduction"
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/duty/brquarantine"
	"bergamotroad.example/bergamotroad/internal/duty/brregistration"
	"bergamotroad.example/bergamotroad/internal/duty/brreload"
	"bergamotroad.example/bergamotroad/internal/duty/brreplicator"
	"bergamotroad.example/bergamotroad/internal/duty/brreservation"
	"bergamotroad.example/bergamotroad/internal/duty/brresult"
	"bergamotroad.example/bergamotroad/internal/duty/brsyncer"
	"bergamotroad.example/bergamotroad/internal/duty/brusagecounter"
	"bergamotroad.example/bergamotroad/internal/duty/brusagereporter"
	"bergamotroad.example/bergamotroad/internal/duty/brwatch"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/peer/brentry"
	"bergamotroad.example/bergamotroad/internal/peer/brregistry"
	"bergamotroad.example/bergamotroad/internal/service/brfront"
	"bergamotroad.example/bergamotroad/internal/service/brproxy"
	"bergamotroad.example/bergamotroad/internal/service/brquotalimiter"
	"bergamotroad.example/bergamotroad/internal/service/brshutdown"
)

// VM is an entry VM.
type VM struct {
	config     Config
	clock      brclock.Clock
	journal    *brjournal.Journal
	replicator *brreplicator.Replicator
	aggregator *braggregator.Aggregator
	syncer     *brsyncer.Syncer
	registrar  *brregistration.Registrar
	enforcer   *brallowance.Enforcer
	client     *brentry.SyncClient
	reloader   *brreload.Reloader
	counter    *brusagecounter.Counter   // nil if usage isn't metered
	reporter   *brusagereporter.Reporter // nil if usage isn't metered
	bounds     atomic.Pointer[brfleet.Bounds]
	duties     []brduty.Runner
	servers    []*http.Server
	listeners  []net.Listener
	guards     map[string]*brfront.Guard // by the name of the front
	collectors []prometheus.Collector
	closeConns func()
	leaving    atomic.Bool
}

// New returns a VM that listens on its addresses; it serves only once Run is called.
func New(config Config, adapter Adapter, clock brclock.Clock, output io.Writer) (*VM, error) {
	if config.memory > 0 {
		debug.SetMemoryLimit(brmemory.RuntimeLimit(config.memory))
	}
	v := &VM{config: config, clock: clock, journal: brjournal.New(clock, config.self.Name(), output), guards: map[string]*brfront.Guard{}}
	v.setBounds(config.bounds)
	v.replicator = brreplicator.New(clock, adapter.decoder, v.journal)
	v.aggregator = braggregator.New(clock, config.self)
	v.registrar = brregistration.New(clock, config.self, adapter.registry, v.replicator, v.journal)
	v.reloader = brreload.New(clock, adapter.settings, v.setBounds, v.journal)
	v.duties = []brduty.Runner{v.replicator.Duty(), v.aggregator.Duty(), v.registrar.Duty(), v.reloader.Duty()}
	v.addUsage(adapter)
	v.addSyncDuties(adapter.registry)
	proxy := v.addProxy(adapter)
	if err := v.listen(adapter.handlers, proxy); err != nil {
		v.close()
		return nil, err
	}
	return v, nil
}

// addSyncDuties adds the duties that read the store and synchronise with other VMs.
func (v *VM) addSyncDuties(registry brregistry.Registry) {
	if source, ok := registry.(brregistry.EraSource); ok {
		source.ObserveEras(eraLogger{journal: v.journal})
	}
	watchers := []*brwatch.Watcher{}
	for area := range brrecord.AreaCount {
		watcher := brwatch.New(v.clock, area, registry, v.replicator, v.journal)
		watchers = append(watchers, watcher)
		v.duties = append(v.duties, watcher.Duty())
	}
	v.client = brentry.NewSyncClient(brentry.NewPlainConnector())
	v.syncer = brsyncer.New(v.clock, v.config.self, v.config.seeds, v.replicator, v.aggregator, watchers, v.client, v.journal)
	v.syncer.SetUsage(v.counter)
	introducer := brintroduction.New(v.clock, v.config.self, v.replicator, v.aggregator, v.client, v.journal)
	v.duties = append(v.duties, v.syncer.Duty(), introducer.Duty())
	for _, region := range otherRegions(v.config) {
		exchanger := brexchanger.New(v.clock, v.config.self, region, v.replicator, v.aggregator, v.client)
		exchanger.SetUsage(v.counter)
		v.duties = append(v.duties, exchanger.Duty())
	}
}

// addProxy adds the duties that take part in handling requests, and returns the proxy
// that uses them.
func (v *VM) addProxy(adapter Adapter) *brproxy.Proxy {
	detector := brquarantine.New[brpoison.ConcurrentPolicy](v.clock, eventLogger{journal: v.journal}, v.aggregator)
	v.aggregator.SetListener(detector)
	detector.SetKeeper(v.aggregator)
	assigner := brassignment.New(v.clock, v.config.self, v.config.bounds, v.aggregator, detector, v.journal)
	v.replicator.Subscribe(assigner.Views())
	v.collectors = append(v.collectors, v.replicator.Collectors()...)
	v.collectors = append(v.collectors, assigner.Collectors()...)
	v.enforcer = brallowance.New(v.clock, v.config.self.Name(), v.config.bounds, v.aggregator, v.replicator)
	recorder := brresult.New(v.clock, adapter.registry, v.journal)
	controller := brcanary.New(v.clock, v.config.self, v.Bounds, v.replicator, v.aggregator, assigner, recorder, v.journal)
	v.duties = append(v.duties, detector.Duty(), assigner.Duty(), v.enforcer.Duty(), recorder.Duty(), controller.Duty())
	reservations := brreservation.New(v.clock, brmemory.BodyBytes(v.config.memory), v.journal)
	v.duties = append(v.duties, reservations.Duty())
	v.collectors = append(v.collectors, reservations.Collectors()...)
	limiter := brquotalimiter.New(v.clock, v.config.self.Name(), v.enforcer, v.syncer, v.client)
	proxy := brproxy.New(v.clock, v.replicator, limiter, assigner, detector, reservations, adapter.upstream, v.journal).
		WithMaxRequests(brconnection.NewAllotment(v.config.files, v.config.memory).Requests())
	if v.counter != nil {
		proxy.SetUsage(v.counter)
	}
	v.collectors = append(v.collectors, proxy.Collectors()...)
	return proxy
}

func otherRegions(config Config) []string {
	regions := brset.New(slices.Collect(maps.Values(config.regions))...)
	regions.Remove(config.self.Region())
	return brset.Sorted(regions)
}

// Run serves until the context ends, and then shuts down gracefully. It returns early
// with an error if a duty panics or a server fails.
func (v *VM) Run(ctx context.Context) error {
	// The log outlives the duties, which write to it.
	journalGroup := brduty.NewGroup(context.WithoutCancel(ctx), v.clock, &dutyObserver{journal: v.journal})
	journalGroup.Start(v.journal.Duty())
	defer v.stopJournal(journalGroup)
	// The duties outlive the context, so that requests in flight can finish.
	group := brduty.NewGroup(journalGroup.Context(), v.clock, &dutyObserver{journal: v.journal})
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
	v.journal.Lifecycle("VM started", "domain", v.config.self.Domain(), "region", v.config.self.Region(),
		"incarnation", v.config.self.Incarnation())
	select {
	case <-ctx.Done():
		v.stop(brshutdown.Context(ctx))
		return nil
	case <-group.Context().Done():
		v.journal.Lifecycle("VM failed", "error", context.Cause(group.Context()).Error())
		return errors.Errorf("duty ended: %w", context.Cause(group.Context()))
	case err := <-failures:
		v.journal.Lifecycle("VM failed", "error", err.Error())
		return err
	}
}

// Reload reloads the settings.
func (v *VM) Reload() { v.reloader.Reload() }

// Bounds returns the operators' current settings for the fleet.
func (v *VM) Bounds() brfleet.Bounds { return *v.bounds.Load() }

func (v *VM) setBounds(bounds brfleet.Bounds) { v.bounds.Store(&bounds) }

// Ready reports whether the VM can forward requests.
func (v *VM) Ready() bool {
	state := v.replicator.State()
	return !v.leaving.Load() && state.View().Policy().Loaded() && state.IsKnown(brrecord.AreaServers)
}
