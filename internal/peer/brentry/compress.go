package brentry

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/gzip"
)

const (
	// leastCompressed is the size from which bodies are compressed. Smaller ones
	// fit into one packet uncompressed.
	leastCompressed = 1 << 10
	// maxInflated bounds the decompressed size of a request. It is far above the
	// size of a region's report at the targeted number of organisations.
	maxInflated = 16 << 20
	// compression is stateless, so that a VM that serves many others needs no
	// memory for each of them.
	compression  = gzip.StatelessCompression
	encodingGzip = "gzip"
)

// withCompression wraps a handler so that it accepts compressed requests and
// compresses larger responses for clients that accept them.
func withCompression(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Content-Encoding") == encodingGzip {
			body, err := gzip.NewReader(r.Body)
			if err != nil {
				http.Error(w, "request body is not valid gzip", http.StatusBadRequest)
				return
			}
			r.Body = http.MaxBytesReader(w, body, maxInflated)
			r.Header.Del("Content-Encoding")
			r.ContentLength = -1
		}
		if !strings.Contains(r.Header.Get("Accept-Encoding"), encodingGzip) {
			handler.ServeHTTP(w, r)
			return
		}
		answer := &compressedAnswer{ResponseWriter: w, status: http.StatusOK}
		handler.ServeHTTP(answer, r)
		answer.finish()
	})
}

// compressedAnswer buffers a response until it is complete.
type compressedAnswer struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader records the status.
func (a *compressedAnswer) WriteHeader(status int) { a.status = status }

// Write buffers a part of the body.
func (a *compressedAnswer) Write(part []byte) (int, error) { return a.body.Write(part) }

// finish sends the response, compressed if that makes it smaller. A write error
// is ignored: it ends the connection, which the client notices.
func (a *compressedAnswer) finish() {
	body := a.body.Bytes()
	if packed, err := compress(body); err == nil && len(packed) < len(body) {
		a.Header().Set("Content-Encoding", encodingGzip)
		body = packed
	}
	a.Header().Set("Content-Length", strconv.Itoa(len(body)))
	a.ResponseWriter.WriteHeader(a.status)
	_, _ = a.ResponseWriter.Write(body)
}

// compress returns the compressed body, or the body itself if it is small.
func compress(body []byte) ([]byte, error) {
	if len(body) < leastCompressed {
		return body, nil
	}
	packed := bytes.Buffer{}
	writer, err := gzip.NewWriterLevel(&packed, compression)
	if err != nil {
		return nil, errors.Errorf("create gzip writer: %w", err)
	}
	if _, err := writer.Write(body); err != nil {
		return nil, errors.Errorf("compress body: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Errorf("finish compressed body: %w", err)
	}
	return packed.Bytes(), nil
}

// compressing is a transport that compresses the bodies of larger requests and
// accepts compressed responses.
type compressing struct {
	next *http.Transport
}

// newCompressing returns a transport that sends over next. It turns on
// decompression in next.
func newCompressing(next *http.Transport) *compressing {
	next.DisableCompression = false
	return &compressing{next: next}
}

// RoundTrip sends a request, with its body compressed if that is large enough.
func (c *compressing) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Body == nil || request.ContentLength < leastCompressed {
		return c.next.RoundTrip(request)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, errors.Errorf("read request body: %w", err)
	}
	_ = request.Body.Close()
	packed, err := compress(body)
	if err != nil {
		return nil, err
	}
	sent := request.Clone(request.Context())
	sent.Header.Set("Content-Encoding", encodingGzip)
	sent.Body = io.NopCloser(bytes.NewReader(packed))
	sent.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(packed)), nil }
	sent.ContentLength = int64(len(packed))
	return c.next.RoundTrip(sent)
}
