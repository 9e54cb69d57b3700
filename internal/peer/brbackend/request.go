package brbackend

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

// unsupportedMethods need a dedicated connection or echo the request.
var unsupportedMethods = []string{http.MethodConnect, http.MethodTrace}

// retriedMethods are the methods that the transport retries on its own.
var retriedMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// retryFields are the header fields that make the transport retry a request of
// any method on its own, mapped to a spelling that it doesn't recognise.
var retryFields = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

func newRequest(ctx context.Context, address string, call brmessage.Call) (*http.Request, error) {
	if slices.Contains(unsupportedMethods, call.Method()) {
		return nil, errors.Errorf("method %s is not supported", call.Method())
	}
	target, err := url.ParseRequestURI(call.Target())
	if err != nil {
		return nil, errors.Errorf("parse target: %w", err)
	}
	target.Scheme = "http"
	target.Host = address
	request, err := http.NewRequestWithContext(ctx, call.Method(), target.String(), nil)
	if err != nil {
		return nil, errors.Errorf("create request: %w", err)
	}
	request.Body, request.ContentLength = requestBody(call)
	setFields(request, call.Fields())
	return request, nil
}

func setFields(request *http.Request, fields brmessage.Fields) {
	for name, values := range fields.All() {
		if lower, ok := retryFields[name]; ok {
			name = lower
		}
		request.Header[name] = values
	}
	request.Header.Del("Expect")
	if host := fields.First("Host"); host != "" {
		request.Host = host
		request.Header.Del("Host")
	}
	if fields.First("User-Agent") == "" {
		// An empty value keeps the transport from adding its default.
		request.Header.Set("User-Agent", "")
	}
}

// requestBody returns a body that the transport can't rewind, so that it doesn't
// retry the request. If the call has no body, the methods that the transport
// retries get an empty body of unknown length, which the transport finds to be
// empty before it writes the request header.
func requestBody(call brmessage.Call) (io.ReadCloser, int64) {
	if call.Body() != nil && call.Size() != 0 {
		return io.NopCloser(struct{ io.Reader }{call.Body()}), call.Size()
	}
	if slices.Contains(retriedMethods, call.Method()) {
		return io.NopCloser(emptyBody{}), 0
	}
	return http.NoBody, 0
}

type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
