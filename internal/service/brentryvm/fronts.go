package brentryvm

import (
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bergamotroad.example/bergamotroad/internal/decide/brconnection"
	"bergamotroad.example/bergamotroad/internal/peer/brentry"
	"bergamotroad.example/bergamotroad/internal/service/brfront"
	"bergamotroad.example/bergamotroad/internal/service/brproxy"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
)

const (
	// idleTimeout is the idle timeout of callers' connections. It is longer than
	// the time for which callers reuse idle connections, so that the caller closes
	// them and never sends on one that this VM is closing.
	idleTimeout = 75 * time.Second
	// headerTimeout is above the 3 s that configurations allow for a header.
	headerTimeout = 5 * time.Second
	// headerBytes is what configurations allow. The server accepts another 4 KiB.
	headerBytes = 16 << 10
	// bodyGrace is the time for which the sender of a body may stall. An upload takes at
	// most its deadline, which is up to 20 s.
	bodyGrace = 20 * time.Second
	// peerHeaderTimeout and peerHeaderBytes are for the fronts that callers don't use.
	peerHeaderTimeout = 10 * time.Second
	peerHeaderBytes   = 64 << 10
)

// front is one of the VM's HTTP servers.
type front struct {
	name    string
	address string
	limits  brsettings.Limits
	handler http.Handler
}

func (v *VM) listen(factory HandlerFactory, proxy *brproxy.Proxy) error {
	callers, closeConns := factory.Callers(v.clock, proxy)
	v.closeConns = closeConns
	registry := prometheus.NewRegistry()
	registry.MustRegister(v.collectors...)
	registry.MustRegister(&collector{vm: v})
	allotment := brconnection.NewAllotment(v.config.files, v.config.memory)
	callerLimits := newLimits(allotment.Callers(), brconnection.PerAddress(allotment.Callers()))
	lookupLimits := newLimits(allotment.Others(), brconnection.PerAddress(allotment.Others()))
	// Other VMs, and the platform's checks, may all have the same address.
	peerLimits := newLimits(allotment.Peers(), allotment.Peers()).WithHeaders(peerHeaderBytes, peerHeaderTimeout, idleTimeout)
	otherLimits := newLimits(allotment.Others(), allotment.Others()).WithHeaders(peerHeaderBytes, peerHeaderTimeout, idleTimeout)
	fronts := []front{
		{name: "callers", address: v.config.self.CallerAddress(), limits: callerLimits, handler: callers},
		{name: "peers", address: v.config.self.PeerAddress(), limits: peerLimits, handler: brentry.NewSyncHandler(v)},
		{name: "lookups", address: v.config.lookups, limits: lookupLimits, handler: factory.Lookups(v)},
		{name: "checks", address: v.config.healthChecks, limits: otherLimits, handler: factory.Checks(v)},
	}
	if v.config.metrics != "" {
		handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
		fronts = append(fronts, front{name: "metrics", address: v.config.metrics, limits: otherLimits, handler: handler})
	}
	for _, f := range fronts {
		listener, err := net.Listen("tcp", f.address)
		if err != nil {
			return errors.Errorf("listen at %s: %w", f.address, err)
		}
		guard := brfront.NewGuard(v.clock, f.limits, listener)
		v.guards[f.name] = guard
		v.listeners = append(v.listeners, guard.Listener())
		v.servers = append(v.servers, guard.Server(f.handler))
	}
	return nil
}

// newLimits returns the limits of a front for callers.
func newLimits(connections, perAddress int) brsettings.Limits {
	return brsettings.NewLimits(connections, perAddress).
		WithHeaders(headerBytes, headerTimeout, idleTimeout).
		WithBodyGrace(bodyGrace)
}

func (v *VM) close() {
	for _, l := range v.listeners {
		_ = l.Close()
	}
}
