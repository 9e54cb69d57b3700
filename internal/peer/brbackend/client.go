// Package brbackend talks to backend servers.
//
// A request is written on at most one connection for each call of Send: the
// transport sends again by itself only what it has not begun to write, since
// only the decisions know whether a request may run again.
//
// Servers keep to one contract: a 503 with the field Bergamotroad-Shed: 1 says
// that the request was refused before it ran. No other answer says so.
//
// An answer whose end is marked by nothing but the end of its connection is
// never a whole one, since a cut looks the same.
//
// # Usage
//
//	backends := brbackend.NewClient(brbackend.NewTransport())
//	answer, err := backends.Send(ctx, server, call)
//	if brbackend.IsErrNotSent(err) || brbackend.IsErrShed(err) {
//		// the request did not run
//	}
//	defer answer.Close()
package brbackend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

// Backend sends requests to backend servers.
type Backend interface {
	// Send sends a request once and returns the head of the answer. It returns
	// ErrNotSent if no byte can have reached the server, ErrShed if the server
	// refused the request before running it, and ErrOutcomeUnknown if the
	// server may have run the request.
	Send(ctx context.Context, server brconfig.Server, call brmessage.Call) (*brmessage.Answer, error)
}

const (
	dialTimeout     = time.Second
	idleTimeout     = 30 * time.Second
	maxHeaderBytes  = 64 << 10
	idleConnections = 64 // for each server
)

// Dial makes a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client is a Backend over HTTP/1.1.
type Client struct {
	transport http.RoundTripper
}

// NewClient returns a client over a transport. Only on connections of
// NewTransport can it prove that nothing was sent.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{transport: transport}
}

// NewTransport returns the transport for backend servers.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewTransportOver(dialer.DialContext)
}

// NewTransportOver returns the transport over connections that dial makes.
func NewTransportOver(dial Dial) *http.Transport {
	return &http.Transport{
		DialContext:            dialCounted(dial),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Send sends a request once.
func (c *Client) Send(ctx context.Context, server brconfig.Server, call brmessage.Call) (*brmessage.Answer, error) {
	response, err := c.Exchange(ctx, server.Address(), call)
	if err != nil {
		return nil, err
	}
	return answerOf(response)
}

// Exchange sends a request once to an address and returns the answer as it
// came. It returns ErrNotSent or ErrOutcomeUnknown.
func (c *Client) Exchange(ctx context.Context, address string, call brmessage.Call) (*http.Response, error) {
	progress := &progress{}
	request, err := requestOf(httptrace.WithClientTrace(ctx, progress.trace()), address, call)
	if err != nil {
		return nil, ErrNotSent{cause: err}
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil && progress.preventSending() {
		return nil, ErrNotSent{cause: err}
	}
	if err != nil {
		return nil, ErrOutcomeUnknown{cause: err}
	}
	return response, nil
}
