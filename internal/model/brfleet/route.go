package brfleet

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brset"
)

// WeightedService is a service that receives a weighted share of a route's requests.
type WeightedService struct {
	service string
	weight  int
}

// NewWeightedService returns a service with its weight relative to the other services of a route.
func NewWeightedService(service string, weight int) WeightedService {
	return WeightedService{service: service, weight: weight}
}

// Service returns the name of the service.
func (s WeightedService) Service() string { return s.service }

// Weight returns the weight relative to the other services of the route.
func (s WeightedService) Weight() int { return s.weight }

// Route maps requests for a host and a path prefix to services. It is immutable.
type Route struct {
	name           string
	host           string
	prefix         string
	services       []WeightedService
	idempotent     bool
	public         bool
	affinity       bool
	timeout        time.Duration
	targetLatency  time.Duration
	attempts       int
	priority       int
	allowedRegions brset.Set[string]
}

// NewRoute returns a route that distributes the requests for a host and a path
// prefix over weighted services.
func NewRoute(name, host, prefix string, services ...WeightedService) Route {
	return Route{name: name, host: host, prefix: prefix, services: services, attempts: 1}
}

// WithIdempotent returns the route, setting whether its requests may run more than once.
func (r Route) WithIdempotent(idempotent bool) Route {
	r.idempotent = idempotent
	return r
}

// WithPublic returns the route, setting whether it accepts requests without an API key.
func (r Route) WithPublic(public bool) Route {
	r.public = public
	return r
}

// WithAffinity returns the route, setting whether requests for an object prefer
// the server that handled it before.
func (r Route) WithAffinity(affinity bool) Route {
	r.affinity = affinity
	return r
}

// WithTimes returns the route with the timeout of a request and its target latency.
func (r Route) WithTimes(timeout, targetLatency time.Duration) Route {
	r.timeout = timeout
	r.targetLatency = targetLatency
	return r
}

// WithAttempts returns the route with the maximum number of servers to which a
// request is sent.
func (r Route) WithAttempts(attempts int) Route {
	r.attempts = attempts
	return r
}

// WithPriority returns the route with its priority, 0 being the highest.
func (r Route) WithPriority(priority int) Route {
	r.priority = priority
	return r
}

// WithAllowedRegions returns the route with the regions that may serve it; none means that
// every region may.
func (r Route) WithAllowedRegions(regions ...string) Route {
	r.allowedRegions = brset.New(regions...)
	return r
}

// Name returns the route's name.
func (r Route) Name() string { return r.name }

// Host returns the host of the requests.
func (r Route) Host() string { return r.host }

// Prefix returns the path prefix of the requests.
func (r Route) Prefix() string { return r.prefix }

// WeightedServices returns the services that share the requests. The slice must not be modified.
func (r Route) WeightedServices() []WeightedService { return r.services }

// Idempotent reports whether a request may run more than once.
func (r Route) Idempotent() bool { return r.idempotent }

// Public reports whether requests need no API key.
func (r Route) Public() bool { return r.public }

// HasAffinity reports whether requests for an object prefer the server that handled it
// before.
func (r Route) HasAffinity() bool { return r.affinity }

// Timeout returns the timeout of a request.
func (r Route) Timeout() time.Duration { return r.timeout }

// TargetLatency returns the target latency: a slower response counts as late.
func (r Route) TargetLatency() time.Duration { return r.targetLatency }

// Attempts returns the maximum number of servers to which a request is sent.
func (r Route) Attempts() int { return r.attempts }

// Priority returns the priority, 0 being the highest.
func (r Route) Priority() int { return r.priority }

// AllowedRegions returns the regions that may serve the route; an empty set means that
// every region may.
func (r Route) AllowedRegions() brset.Set[string] { return r.allowedRegions }
