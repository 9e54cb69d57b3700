package brsettings

import "time"

// Limits holds the limits of a front for its clients.
type Limits struct {
	headerBytes           int64
	bodyBytes             int64
	headerTimeout         time.Duration
	idleTimeout           time.Duration
	bodyGrace             time.Duration
	bodyRate              int64
	connections           int64
	connectionsPerAddress int64
	requests              int64
}

// NewLimits returns the default limits of callers' fronts with a maximum number of
// connections, in total and for each client address.
func NewLimits(connections, connectionsPerAddress int) Limits {
	limits := callerDefaults
	limits.connections, limits.connectionsPerAddress = int64(connections), int64(connectionsPerAddress)
	return limits
}

// WithHeaders returns the limits with the maximum size of a header and the times to receive
// one and between two requests.
func (l Limits) WithHeaders(bytes int, timeout, idle time.Duration) Limits {
	l.headerBytes, l.headerTimeout, l.idleTimeout = int64(bytes), timeout, idle
	return l
}

// WithBodyGrace returns the limits with the time that a body may take in addition to its size
// divided by BodyRate.
func (l Limits) WithBodyGrace(grace time.Duration) Limits {
	l.bodyGrace = grace
	return l
}

// HeaderBytes returns the maximum size of the request line and header fields.
func (l Limits) HeaderBytes() int { return int(l.headerBytes) }

// BodyBytes returns the maximum size of a request body. A route may set a lower limit.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// HeaderTimeout returns the maximum time to receive a request header.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns how long a connection may be idle between requests.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// BodyGrace returns the time that a body may take in addition to its size divided by
// BodyRate.
func (l Limits) BodyGrace() time.Duration { return l.bodyGrace }

// BodyRate returns the minimum transfer rate of a body, in bytes per second.
func (l Limits) BodyRate() int64 { return l.bodyRate }

// Connections returns the maximum number of connections.
func (l Limits) Connections() int { return int(l.connections) }

// ConnectionsPerAddress returns the maximum number of connections per client address.
func (l Limits) ConnectionsPerAddress() int { return int(l.connectionsPerAddress) }

// Requests returns the maximum number of concurrent requests.
func (l Limits) Requests() int { return int(l.requests) }

const (
	minHeaderBytes               = 1 << 10
	maxHeaderBytes               = 1 << 20
	maxBodyBytes                 = 1 << 40
	minTimeout                   = 10 * time.Millisecond
	maxTimeout                   = time.Hour
	maxBodyRate                  = 1 << 30 // bytes per second
	maxConnections               = 1 << 20
	defaultHeaderBytes           = 32 << 10
	defaultBodyBytes             = 64 << 20
	defaultPeerBodyBytes         = 256 << 20
	defaultBodyRate              = 1 << 10 // bytes per second
	defaultHeaderTimeout         = 5 * time.Second
	defaultIdleTimeout           = time.Minute
	defaultBodyGrace             = 10 * time.Second
	defaultRequests              = 2048
	defaultConnectionsPerAddress = 512
	defaultConnections           = 4096
	defaultOperatorCount         = 256 // connections and concurrent requests
)

var (
	callerDefaults = Limits{
		headerBytes:           defaultHeaderBytes,
		bodyBytes:             defaultBodyBytes,
		headerTimeout:         defaultHeaderTimeout,
		idleTimeout:           defaultIdleTimeout,
		bodyGrace:             defaultBodyGrace,
		bodyRate:              defaultBodyRate,
		connections:           defaultConnections,
		connectionsPerAddress: defaultConnectionsPerAddress,
		requests:              defaultRequests,
	}
	peerDefaults     = callerDefaults.withBodyBytes(defaultPeerBodyBytes)
	operatorDefaults = callerDefaults.withBodyBytes(defaultBodyBytes).withCounts(defaultOperatorCount)
)

func (l Limits) withBodyBytes(bytes int64) Limits {
	l.bodyBytes = bytes
	return l
}

func (l Limits) withCounts(count int64) Limits {
	l.connections = count
	l.connectionsPerAddress = count
	l.requests = count
	return l
}

func parseLimits(s *section, defaults Limits) Limits {
	defer s.finish()
	return Limits{
		headerBytes:           s.number("headerBytes", defaults.headerBytes, minHeaderBytes, maxHeaderBytes),
		bodyBytes:             s.number("bodyBytes", defaults.bodyBytes, 0, maxBodyBytes),
		headerTimeout:         s.duration("headerTimeout", defaults.headerTimeout, minTimeout, maxTimeout),
		idleTimeout:           s.duration("idleTimeout", defaults.idleTimeout, minTimeout, maxTimeout),
		bodyGrace:             s.duration("bodyGrace", defaults.bodyGrace, minTimeout, maxTimeout),
		bodyRate:              s.number("bodyRate", defaults.bodyRate, 1, maxBodyRate),
		connections:           s.number("connections", defaults.connections, 1, maxConnections),
		connectionsPerAddress: s.number("connectionsPerAddress", defaults.connectionsPerAddress, 1, maxConnections),
		requests:              s.number("requests", defaults.requests, 1, maxConnections),
	}
}
