// Package brnetwork makes TCP connections that detect an unresponsive peer, and a reset that
// would look like the regular end of a stream.
//
// Keepalive probes detect an unresponsive peer while a connection waits for data, and the
// TCP user timeout detects it while sent data is not acknowledged.
//
// # Usage
//
//	transport := brnetwork.NewTransport(time.Second, 2*time.Second, time.Minute, 4)
package brnetwork

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeIdle, probeInterval and probeCount configure TCP keepalive. They detect
	// within about three seconds that the peer of a connection that waits for a
	// response is unreachable.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2

	// maxResponseHeaderBytes bounds the head of a response. Once it is parsed, a head of short
	// fields takes a multiple of its size.
	maxResponseHeaderBytes = 64 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewDial returns a dial function. Connecting takes at most the timeout, and a
// connection ends if the peer does not acknowledge sent data within userTimeout.
func NewDial(timeout, userTimeout time.Duration) DialFunc {
	dialer := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				// If the system lacks the option, keepalive and time-outs still apply.
				_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
		},
	}
	return dialer.DialContext
}

// NewTransport returns an HTTP transport over connections of NewDial with detection of
// resets. It keeps up to idleConnections idle connections for each address, each for the idle
// time.
func NewTransport(timeout, userTimeout, idle time.Duration, idleConnections int) *http.Transport {
	dial := NewDial(timeout, userTimeout)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return WithResetDetection(conn), nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}
