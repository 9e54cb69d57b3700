package brfleet

import "time"

// Service is a group of backend servers that handle the same requests. It is immutable.
type Service struct {
	name     string
	coldRate float64
	coldTime time.Duration
}

// NewService returns a service with the number of requests per second that one of
// its servers can handle while it warms up.
func NewService(name string, coldRate float64) Service {
	return Service{name: name, coldRate: coldRate}
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// WithColdTime returns the service with the time that one of its servers takes to warm up.
func (s Service) WithColdTime(coldTime time.Duration) Service {
	s.coldTime = coldTime
	return s
}

// ColdTime returns the time that one of the servers takes to warm up, or 0 if unknown.
func (s Service) ColdTime() time.Duration { return s.coldTime }

// ColdRate returns the requests per second that a server can handle while it warms up.
func (s Service) ColdRate() float64 { return s.coldRate }
