package brconfig

import "time"

// Service is a group of backend servers that answer the same routes.
type Service struct {
	Meta
}

// NewService returns a service.
func NewService(meta Meta) Service {
	return Service{Meta: meta}
}

// Kind returns KindService.
func (Service) Kind() Kind { return KindService }

// References returns none.
func (Service) References() []Reference { return nil }

// ServerState is what operators say of a backend server.
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

// NewServer returns a serving backend server that runs slots requests at a time.
func NewServer(meta Meta, service, domain, address string, slots int) Server {
	return Server{Meta: meta, service: service, domain: domain, address: address, slots: slots, state: ServerServing}
}

// WithVersion returns the server with the version that it runs.
func (s Server) WithVersion(version string) Server {
	s.version = version
	return s
}

// WithState returns the server with another state.
func (s Server) WithState(state ServerState) Server {
	s.state = state
	return s
}

// Kind returns KindServer.
func (Server) Kind() Kind { return KindServer }

// References returns the service and the failure domain.
func (s Server) References() []Reference {
	return []Reference{NewReference(KindService, s.service), NewReference(KindDomain, s.domain)}
}

// Service returns the name of the service.
func (s Server) Service() string { return s.service }

// Domain returns the name of the failure domain.
func (s Server) Domain() string { return s.domain }

// Address returns host:port.
func (s Server) Address() string { return s.address }

// Slots returns the number of requests that the server runs at a time.
func (s Server) Slots() int { return s.slots }

// Version returns the version that the server runs, or none as "".
func (s Server) Version() string { return s.version }

// State returns what operators say of the server.
func (s Server) State() ServerState { return s.state }

// Repeat says how often a request of a route may run.
type Repeat string

// The ways in which requests may be repeated.
const (
	// RepeatAny may run any number of times.
	RepeatAny Repeat = "any"
	// RepeatOnce must run at most once.
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

// Defaults of a route.
const (
	DefaultRouteTimeout       = 30 * time.Second
	DefaultRouteMaxBody int64 = 16 << 20 // bytes
)

// NewRoute returns a route for the paths under a prefix, for callers with a
// key, whose requests run at most once.
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

// WithMethods returns the route for some methods only.
func (r Route) WithMethods(methods ...string) Route {
	r.methods = methods
	return r
}

// WithRepeat returns the route with the way in which its requests may be repeated.
func (r Route) WithRepeat(repeat Repeat) Route {
	r.repeat = repeat
	return r
}

// WithOpen returns the route open to callers without a key, or not.
func (r Route) WithOpen(open bool) Route {
	r.open = open
	return r
}

// WithTimeout returns the route with the longest time that a request may take.
func (r Route) WithTimeout(timeout time.Duration) Route {
	r.timeout = timeout
	return r
}

// WithMaxBody returns the route with the largest request body in bytes.
func (r Route) WithMaxBody(bytes int64) Route {
	r.maxBody = bytes
	return r
}

// Kind returns KindRoute.
func (Route) Kind() Kind { return KindRoute }

// References returns the service.
func (r Route) References() []Reference {
	return []Reference{NewReference(KindService, r.service)}
}

// Service returns the name of the service.
func (r Route) Service() string { return r.service }

// PathPrefix returns the prefix of the paths.
func (r Route) PathPrefix() string { return r.pathPrefix }

// Methods returns the methods, or none for all. The caller must not change the slice.
func (r Route) Methods() []string { return r.methods }

// Repeat returns how often a request may run.
func (r Route) Repeat() Repeat { return r.repeat }

// Open reports whether callers need no key.
func (r Route) Open() bool { return r.open }

// Timeout returns the longest time that a request may take.
func (r Route) Timeout() time.Duration { return r.timeout }

// MaxBody returns the largest request body in bytes.
func (r Route) MaxBody() int64 { return r.maxBody }
