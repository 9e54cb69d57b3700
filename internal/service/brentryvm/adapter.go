package brentryvm

import (
	"net/http"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/decide/brreplica"
	"bergamotroad.example/bergamotroad/internal/duty/brreload"
	"bergamotroad.example/bergamotroad/internal/peer/brbilling"
	"bergamotroad.example/bergamotroad/internal/peer/brregistry"
	"bergamotroad.example/bergamotroad/internal/service/brproxy"
)

// Adapter is the platform-specific part of an entry VM.
type Adapter struct {
	registry brregistry.Registry
	decoder  brreplica.Decoder
	upstream brproxy.Upstream
	handlers HandlerFactory
	settings brreload.Source
	leases   brregistry.LeaseTable
	billing  brbilling.Platform
}

// HandlerFactory creates the HTTP handlers for the platform's callers and health checks.
type HandlerFactory interface {
	// Callers returns the handler for callers' requests, and a function that makes it
	// close each connection after the next response.
	Callers(clock brclock.Clock, proxy *brproxy.Proxy) (http.Handler, func())
	// Lookups returns the handler for look-ups.
	Lookups(vm *VM) http.Handler
	// Checks returns the handler for the platform's health checks.
	Checks(vm *VM) http.Handler
}

// NewAdapter returns the adapter of a platform.
func NewAdapter(registry brregistry.Registry, decoder brreplica.Decoder, upstream brproxy.Upstream, handlers HandlerFactory, settings brreload.Source) Adapter {
	return Adapter{registry: registry, decoder: decoder, upstream: upstream, handlers: handlers, settings: settings}
}

// WithBilling returns the adapter with the platform's usage metering, and the part of the store
// that holds the lease under which one VM reports usage.
func (a Adapter) WithBilling(leases brregistry.LeaseTable, billing brbilling.Platform) Adapter {
	a.leases, a.billing = leases, billing
	return a
}
