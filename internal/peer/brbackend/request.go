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

// refusedMethods need a connection of their own or echo what was sent.
var refusedMethods = []string{http.MethodConnect, http.MethodTrace}

// replayedMethods are the ones that the transport would send again by itself.
var replayedMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// replayFields make the transport send a request of any method again by
// itself, unless their names are spelled in lower case.
var replayFields = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

func requestOf(ctx context.Context, address string, call brmessage.Call) (*http.Request, error) {
	if slices.Contains(refusedMethods, call.Method()) {
		return nil, errors.Errorf("method %s is not passed on", call.Method())
	}
	target, err := url.ParseRequestURI(call.Target())
	if err != nil {
		return nil, errors.Errorf("parse target: %w", err)
	}
	target.Scheme = "http"
	target.Host = address
	request, err := http.NewRequestWithContext(ctx, call.Method(), target.String(), nil)
	if err != nil {
		return nil, errors.Errorf("make request: %w", err)
	}
	request.Body, request.ContentLength = bodyOf(call)
	setFields(request, call.Fields())
	return request, nil
}

func setFields(request *http.Request, fields brmessage.Fields) {
	for name, values := range fields.All() {
		if lower, ok := replayFields[name]; ok {
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
		// An empty value keeps the transport from adding its own.
		request.Header.Set("User-Agent", "")
	}
}

// bodyOf returns a body that the transport can't read a second time. Without
// one, the methods that it would send again get an empty body of unknown
// length, which the transport finds empty before it writes the head.
func bodyOf(call brmessage.Call) (io.ReadCloser, int64) {
	if call.Body() != nil && call.Size() != 0 {
		return io.NopCloser(struct{ io.Reader }{call.Body()}), call.Size()
	}
	if slices.Contains(replayedMethods, call.Method()) {
		return io.NopCloser(emptyBody{}), 0
	}
	return http.NoBody, 0
}

type emptyBody struct{}

// Read returns io.EOF.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
