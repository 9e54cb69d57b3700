package brfleet

import "time"

// Server is a backend server as described by its registration. It is immutable.
type Server struct {
	id             string
	address        string
	service        string
	domain         string
	region         string
	version        string
	slots          int
	draining       bool
	startUnixMilli int64
	coldRemaining  time.Duration
}

// NewServer returns a server of a service with one slot; the address is host:port.
func NewServer(id, service, address string) Server {
	return Server{id: id, service: service, address: address, slots: 1}
}

// WithLocation returns the server with its failure domain and region.
func (s Server) WithLocation(domain, region string) Server {
	s.domain = domain
	s.region = region
	return s
}

// WithVersion returns the server with the version of its software.
func (s Server) WithVersion(version string) Server {
	s.version = version
	return s
}

// WithSlots returns the server with the number of requests that it runs concurrently.
func (s Server) WithSlots(slots int) Server {
	s.slots = slots
	return s
}

// WithDraining returns the server, setting whether it is draining before shutdown.
func (s Server) WithDraining(draining bool) Server {
	s.draining = draining
	return s
}

// WithStart returns the server with its start time in Unix milliseconds, and the
// remaining warm-up time as of its registration.
func (s Server) WithStart(startUnixMilli int64, coldRemaining time.Duration) Server {
	s.startUnixMilli = startUnixMilli
	s.coldRemaining = coldRemaining
	return s
}

// ID returns the server's identifier.
func (s Server) ID() string { return s.id }

// Address returns host:port.
func (s Server) Address() string { return s.address }

// Service returns the name of the service.
func (s Server) Service() string { return s.service }

// Domain returns the name of the failure domain.
func (s Server) Domain() string { return s.domain }

// Region returns the name of the region.
func (s Server) Region() string { return s.region }

// Version returns the version of the server's software.
func (s Server) Version() string { return s.version }

// Slots returns the number of requests that the server runs concurrently.
func (s Server) Slots() int { return s.slots }

// Draining reports whether the server is draining before shutdown.
func (s Server) Draining() bool { return s.draining }

// StartUnixMilli returns the server's start time in Unix milliseconds, which distinguishes
// successive processes with the same identifier.
func (s Server) StartUnixMilli() int64 { return s.startUnixMilli }

// ColdRemaining returns the remaining warm-up time as of the server's registration.
func (s Server) ColdRemaining() time.Duration { return s.coldRemaining }
