package brbackend

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/peer/brnetwork"
)

// Transport is the HTTP transport for backend servers. It knows its connections by the
// address of the server.
type Transport struct {
	http        *http.Transport
	mutex       sync.Mutex
	connections map[string]map[*connection]struct{} // by address
}

// NewTransport returns the transport for backend servers.
func NewTransport() *Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewTransportWithDial(dialer.DialContext)
}

// NewTransportWithDial returns the transport for backend servers with connections
// opened by dial.
func NewTransportWithDial(dial DialFunc) *Transport {
	t := &Transport{connections: map[string]map[*connection]struct{}{}}
	t.http = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return t.dial(ctx, dial, network, address)
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return t
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	return t.http.RoundTrip(request)
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.http.CloseIdleConnections() }

// Retire closes the connections to an address, each as soon as it is not in use.
func (t *Transport) Retire(address string) {
	t.mutex.Lock()
	open := make([]*connection, 0, len(t.connections[address]))
	for c := range t.connections[address] {
		open = append(open, c)
	}
	t.mutex.Unlock()
	for _, c := range open {
		c.retire()
	}
}

// dial opens a connection that counts written bytes.
func (t *Transport) dial(ctx context.Context, dial DialFunc, network, address string) (net.Conn, error) {
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, errors.Errorf("dial %s: %w", address, err)
	}
	c := &connection{Conn: brnetwork.WithResetDetection(conn)}
	c.onClose = func() { t.remove(address, c) }
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.connections[address] == nil {
		t.connections[address] = map[*connection]struct{}{}
	}
	t.connections[address][c] = struct{}{}
	return c, nil
}

func (t *Transport) remove(address string, c *connection) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.connections[address], c)
	if len(t.connections[address]) == 0 {
		delete(t.connections, address)
	}
}
