// Package brbackend talks to backend servers.
//
// A request is sent at most once for each call of Send: the transport's own
// repetition on a broken connection is switched off, since only the decisions
// know whether a request may run again.
//
// # Usage
//
//	backends := brbackend.NewClient(transport)
//	answer, err := backends.Send(ctx, server, call)
//	if brbackend.IsErrNotSent(err) {
//		// no byte can have reached the server
//	}
//	defer answer.Close()
package brbackend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

// Backend sends requests to backend servers.
type Backend interface {
	// Send sends a request once and returns the head of the answer. It returns
	// ErrNotSent if no byte can have reached the server, and ErrOutcomeUnknown
	// if the server may have run the request.
	Send(ctx context.Context, server brconfig.Server, call brmessage.Call) (*brmessage.Answer, error)
}

const (
	dialTimeout     = time.Second
	idleTimeout     = 30 * time.Second
	maxHeaderBytes  = 64 << 10
	idleConnections = 64 // for each server
)

// Client is a Backend over HTTP/1.1.
type Client struct {
	transport http.RoundTripper
}

// NewClient returns a client over a transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{transport: transport}
}

// NewTransport returns the transport for backend servers.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Send sends a request once.
func (c *Client) Send(ctx context.Context, server brconfig.Server, call brmessage.Call) (*brmessage.Answer, error) {
	progress := &progress{}
	request, err := requestOf(httptrace.WithClientTrace(ctx, progress.trace()), server, call)
	if err != nil {
		return nil, ErrNotSent{cause: err}
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil && !progress.connected() {
		return nil, ErrNotSent{cause: err}
	}
	if err != nil {
		return nil, ErrOutcomeUnknown{cause: err}
	}
	trailers := func() brmessage.Fields { return brmessage.NewFields(response.Trailer) }
	return brmessage.NewAnswer(response.StatusCode, brmessage.NewFields(response.Header), response.Body, trailers), nil
}

func requestOf(ctx context.Context, server brconfig.Server, call brmessage.Call) (*http.Request, error) {
	target, err := url.ParseRequestURI(call.Target())
	if err != nil {
		return nil, errors.Errorf("parse target: %w", err)
	}
	target.Scheme = "http"
	target.Host = server.Address()
	request, err := http.NewRequestWithContext(ctx, call.Method(), target.String(), once(call.Body()))
	if err != nil {
		return nil, errors.Errorf("make request: %w", err)
	}
	for name, values := range call.Fields().All() {
		request.Header[name] = values
	}
	request.ContentLength = call.Size()
	if host := call.Fields().First("Host"); host != "" {
		request.Host = host
		request.Header.Del("Host")
	}
	return request, nil
}

// once hides what a body can do besides being read, so that the transport
// can't read it a second time.
func once(body io.Reader) io.Reader {
	if body == nil {
		return nil
	}
	return struct{ io.Reader }{body}
}
