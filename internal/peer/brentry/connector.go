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
	dialTimeout         = time.Second
	handshakeTimeout    = 2 * time.Second
	idleTimeout         = time.Minute
	idleConnections     = 16 // for each VM
	maxReplyHeaderBytes = 64 << 10
)

// Connector makes the connections to other entry VMs, of all that is said to them.
type Connector struct {
	client *http.Client
	scheme string
}

// NewPlainConnector returns a connector that speaks plain TCP.
func NewPlainConnector() *Connector {
	return &Connector{client: &http.Client{Transport: newTransport()}, scheme: "http"}
}

// NewConnector returns a connector that speaks mutual TLS. Other VMs'
// certificates must hold the server name, or the IP number that is called where
// the name is "".
func NewConnector(keeper *brcertificate.Keeper, serverName string) *Connector {
	transport := newTransport()
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		name, err := expectedName(serverName, address)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		secured := &tls.Dialer{NetDialer: dialer, Config: keeper.ClientConfig(name)}
		return secured.DialContext(ctx, network, address)
	}
	return &Connector{client: &http.Client{Transport: transport}, scheme: "https"}
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

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxReplyHeaderBytes,
	}
}

// Client returns the HTTP client of all calls to other VMs.
func (c *Connector) Client() *http.Client { return c.client }

// URL returns the base URL of the VM at host:port.
func (c *Connector) URL(address string) string { return c.scheme + "://" + address }

// Peer returns the VM at host:port.
func (c *Connector) Peer(address string) *Peer {
	return NewPeer(c.client, c.URL(address))
}
