// Package brbackend is the HTTP client for backend servers.
//
// Each call of Send writes the request on at most one connection. The transport
// retries on its own only if it has not started to write the request, because
// only the caller of Send can decide whether a request may run again.
//
// Servers follow one contract: a 503 response with the header field
// Bergamotroad-Shed: 1 means that the request was rejected before it ran. No
// other response means this.
//
// A server that echoes X-Request-Id shows which request a response belongs to. A response
// with another identifier, such as a second copy that arrives late, is not used. A rejection
// counts only if it can't be a copy of an earlier one: on a new connection, or with the
// identifier of a request that had not been sent on the connection before.
//
// A response whose head is malformed, with a blank in the name of a field or the status 000,
// is no response: net/http's parser would take some of them for others than the server meant.
//
// A response body whose end is marked only by the close of its connection is
// always reported as truncated by Send, because a truncated body looks the same. Exchange
// leaves it to its caller to use such a body; one that a reset ends fails in either case.
//
// # Usage
//
//	client := brbackend.NewClient(brbackend.NewTransport())
//	response, err := client.Send(ctx, server, call)
//	if brbackend.IsErrNotSent(err) || brbackend.IsErrShed(err) {
//		// the request did not run
//	}
//	defer response.Close()
package brbackend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

// Backend sends requests to backend servers.
type Backend interface {
	// Send sends a request once and returns as soon as the response header has
	// arrived. It returns ErrNotSent if no byte can have reached the server,
	// ErrShed if the server rejected the request before running it, and
	// ErrOutcomeUnknown if the server may have run the request.
	Send(ctx context.Context, server brconfig.Server, call brmessage.Call) (*brmessage.Response, error)
}

const (
	dialTimeout            = time.Second
	idleTimeout            = 30 * time.Second
	maxResponseHeaderBytes = 64 << 10
	maxIdleConnections     = 64 // per server
)

// fieldRequestID identifies a request; servers echo it.
const fieldRequestID = "X-Request-Id"

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client is a Backend over HTTP/1.1.
type Client struct {
	transport http.RoundTripper
}

// NewClient returns a client that uses a transport. It can prove that nothing
// was sent only on connections of NewTransport or NewTransportWithDial.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{transport: transport}
}

// Retire closes the connections to a server that shuts down, each as soon as it is not
// in use. Only a Transport knows its connections by address.
func (c *Client) Retire(address string) {
	if t, ok := c.transport.(*Transport); ok {
		t.Retire(address)
	}
}

// Send sends a request once.
func (c *Client) Send(ctx context.Context, server brconfig.Server, call brmessage.Call) (*brmessage.Response, error) {
	response, err := c.Exchange(ctx, server.Address(), call)
	if err != nil {
		return nil, err
	}
	id := response.Header.Get(fieldRequestID)
	if id != "" && id != call.Fields().First(fieldRequestID) {
		Abandon(response)
		return nil, ErrOutcomeUnknown{cause: errors.Errorf("response is one to request %q", id)}
	}
	if isShed(response) && !IsOnNewConnection(response) && (id == "" || !IsRefusalCertain(response)) {
		Abandon(response)
		return nil, ErrOutcomeUnknown{cause: errors.New("rejection on a kept connection may be one of an earlier request")}
	}
	return decodeResponse(response)
}

// Exchange sends a request once to an address and returns the unprocessed
// response, which is a final one. The error is ErrNotSent or ErrOutcomeUnknown.
func (c *Client) Exchange(ctx context.Context, address string, call brmessage.Call) (*http.Response, error) {
	tracker := &writeTracker{id: call.Fields().First(fieldRequestID)}
	request, err := newRequest(httptrace.WithClientTrace(ctx, tracker.trace()), address, call)
	if err != nil {
		return nil, ErrNotSent{cause: err}
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil && tracker.blockUnsent() {
		return nil, ErrNotSent{cause: err}
	}
	if err != nil {
		return nil, ErrOutcomeUnknown{cause: err}
	}
	response.Body = &trackedBody{ReadCloser: response.Body, tracker: tracker}
	switch {
	case response.StatusCode < http.StatusOK:
		Abandon(response)
		return nil, ErrOutcomeUnknown{cause: errors.Errorf("status %d is not that of a final response", response.StatusCode)}
	case isSpliced(response.Header):
		Abandon(response)
		return nil, ErrOutcomeUnknown{cause: errors.New("response header contains the head of another response")}
	}
	return response, nil
}

// isSpliced reports whether a header consists of a truncated one and the head of the next
// response on the connection: the status line then stands within a value.
func isSpliced(header http.Header) bool {
	for name, values := range header {
		contains := func(value string) bool { return strings.Contains(value, "HTTP/1.") }
		if name != "Via" && slices.ContainsFunc(values, contains) {
			return true
		}
	}
	return false
}

// Abandon closes the connection of a response that belongs to another request, so that the
// response to the request itself, which may still arrive, is not taken for a later one's.
func Abandon(response *http.Response) {
	if body, ok := response.Body.(*trackedBody); ok {
		body.tracker.closeConnection()
	}
	_ = response.Body.Close()
}

// IsOnNewConnection reports whether a response came on a connection that no other request
// has used, so that it can't be a late copy of the response to an earlier one.
func IsOnNewConnection(response *http.Response) bool {
	use, ok := useOf(response)
	return ok && use.number == 1
}

// IsRefusalCertain reports whether a refusal that has the request's identifier, or none on a
// new connection, can only refuse this request. It may be the late copy of a refusal of an
// earlier request on the connection that had the same identifier.
func IsRefusalCertain(response *http.Response) bool {
	use, ok := useOf(response)
	return ok && !use.repeated
}

func useOf(response *http.Response) (connectionUse, bool) {
	body, ok := response.Body.(*trackedBody)
	if !ok {
		return connectionUse{}, false
	}
	return body.tracker.lastUse()
}

// trackedBody is the body of a response with the connections of its request.
type trackedBody struct {
	io.ReadCloser
	tracker *writeTracker
}

// untracked returns the body without the connections of its request.
func untracked(body io.ReadCloser) io.ReadCloser {
	if tracked, ok := body.(*trackedBody); ok {
		return tracked.ReadCloser
	}
	return body
}
