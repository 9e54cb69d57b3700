package brentry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/duty/brcertificate"
)

const (
	dialTimeout            = time.Second
	handshakeTimeout       = 2 * time.Second
	idleTimeout            = time.Minute
	idleConnections        = 2 // for each VM
	maxResponseHeaderBytes = 64 << 10
)

// Connector makes all connections to other entry VMs. The scheme of their URLs is
// always http: only the connector decides whether a connection uses TLS.
type Connector struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewPlainConnector returns a connector that uses TCP without TLS.
func NewPlainConnector() *Connector {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Connector{dial: dialer.DialContext}
}

// NewConnector returns a connector that uses mutual TLS. The certificates of
// other VMs must be valid for the server name, or for the host that is dialled
// if the name is empty.
func NewConnector(certificates *brcertificate.Store, serverName string) *Connector {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Connector{dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		name, err := expectedName(serverName, address)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		tlsDialer := &tls.Dialer{NetDialer: dialer, Config: certificates.ClientConfig(name)}
		return tlsDialer.DialContext(ctx, network, address)
	}}
}

func expectedName(serverName, address string) (string, error) {
	if serverName != "" {
		return serverName, nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "", errors.Errorf("split address of VM: %w", err)
	}
	return host, nil
}

// Dial opens one connection.
func (c *Connector) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return c.dial(ctx, network, address)
}

// Transport returns a new transport over the connector.
func (c *Connector) Transport() *http.Transport {
	return &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}
