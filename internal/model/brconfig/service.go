package brconfig

import "time"

// Service is a group of backend servers that serve the same routes.
type Service struct {
	Meta
}

// NewService returns a service.
func NewService(meta Meta) Service {
	return Service{Meta: meta}
}

// Kind returns KindService.
func (Service) Kind() Kind { return KindService }

// References returns nil, since a service refers to no other resource.
func (Service) References() []Reference { return nil }

// ServerState is the configured state of a backend server.
type ServerState string

// The states of a backend server.
const (
	ServerServing ServerState = "serving"
	ServerLeaving ServerState = "leaving"
)

// Server is a backend server of a service.
type Server struct {
	Meta
	service string
	domain  string
	address string
	slots   int
	version string
	state   ServerState
}

// NewServer returns a serving backend server that handles up to slots concurrent requests.
func NewServer(meta Meta, service, domain, address string, slots int) Server {
	return Server{Meta: meta, service: service, domain: domain, address: address, slots: slots, state: ServerServing}
}

// WithVersion returns the server with the given software version.
func (s Server) WithVersion(version string) Server {
	s.version = version
	return s
}

// WithState returns the server with the given state.
func (s Server) WithState(state ServerState) Server {
	s.state = state
	return s
}

// Kind returns KindServer.
func (Server) Kind() Kind { return KindServer }

// References returns references to the service and the failure domain.
func (s Server) References() []Reference {
	return []Reference{NewReference(KindService, s.service), NewReference(KindDomain, s.domain)}
}

// Service returns the name of the service.
func (s Server) Service() string { return s.service }

// Domain returns the name of the failure domain.
func (s Server) Domain() string { return s.domain }

// Address returns the host:port address.
func (s Server) Address() string { return s.address }

// Slots returns the maximum number of concurrent requests.
func (s Server) Slots() int { return s.slots }

// Version returns the version that the server runs, or "" if not given.
func (s Server) Version() string { return s.version }

// State returns the configured state.
func (s Server) State() ServerState { return s.state }

// Repeat is the retry policy of a route: how often one request may be executed.
type Repeat string

// The retry policies.
const (
	// RepeatAny allows a request to be executed any number of times.
	RepeatAny Repeat = "any"
	// RepeatOnce allows a request to be executed at most once.
	RepeatOnce Repeat = "once"
)

// Route maps requests to a service.
type Route struct {
	Meta
	service    string
	pathPrefix string
	methods    []string
	repeat     Repeat
	open       bool
	timeout    time.Duration
	maxBody    int64
}

// Default limits of a route.
const (
	DefaultRouteTimeout       = 30 * time.Second
	DefaultRouteMaxBody int64 = 16 << 20 // bytes
)

// NewRoute returns a route for the paths under a prefix. By default callers need a
// key and requests are executed at most once.
func NewRoute(meta Meta, service, pathPrefix string) Route {
	return Route{
		Meta:       meta,
		service:    service,
		pathPrefix: pathPrefix,
		repeat:     RepeatOnce,
		timeout:    DefaultRouteTimeout,
		maxBody:    DefaultRouteMaxBody,
	}
}

// WithMethods returns the route restricted to the given methods.
func (r Route) WithMethods(methods ...string) Route {
	r.methods = methods
	return r
}

// WithRepeat returns the route with the given retry policy.
func (r Route) WithRepeat(repeat Repeat) Route {
	r.repeat = repeat
	return r
}

// WithOpen returns the route with access for callers without a key allowed or not.
func (r Route) WithOpen(open bool) Route {
	r.open = open
	return r
}

// WithTimeout returns the route with the given request timeout.
func (r Route) WithTimeout(timeout time.Duration) Route {
	r.timeout = timeout
	return r
}

// WithMaxBody returns the route with the maximum size of a request body.
func (r Route) WithMaxBody(bytes int64) Route {
	r.maxBody = bytes
	return r
}

// Kind returns KindRoute.
func (Route) Kind() Kind { return KindRoute }

// References returns a reference to the service.
func (r Route) References() []Reference {
	return []Reference{NewReference(KindService, r.service)}
}

// Service returns the name of the service.
func (r Route) Service() string { return r.service }

// PathPrefix returns the prefix of matching paths.
func (r Route) PathPrefix() string { return r.pathPrefix }

// Methods returns the matching methods; an empty slice means all. The caller must
// not modify the slice.
func (r Route) Methods() []string { return r.methods }

// Repeat returns the retry policy.
func (r Route) Repeat() Repeat { return r.repeat }

// Open reports whether callers without a key are allowed.
func (r Route) Open() bool { return r.open }

// Timeout returns the request timeout.
func (r Route) Timeout() time.Duration { return r.timeout }

// MaxBody returns the maximum size of a request body in bytes.
func (r Route) MaxBody() int64 { return r.maxBody }
