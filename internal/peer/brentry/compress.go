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
	// minCompressedBytes is the size from which bodies are compressed. Smaller ones
	// fit into one packet uncompressed.
	minCompressedBytes = 1 << 10
	// maxDecompressedBytes bounds the decompressed size of a request. It is far above the
	// size of a region's status at the targeted number of organisations.
	maxDecompressedBytes = 16 << 20
	// compressionLevel is stateless, so that a VM that serves many others needs no
	// memory for each of them.
	compressionLevel = gzip.StatelessCompression
	encodingGzip     = "gzip"
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
			r.Body = http.MaxBytesReader(w, body, maxDecompressedBytes)
			r.Header.Del("Content-Encoding")
			r.ContentLength = -1
		}
		if !strings.Contains(r.Header.Get("Accept-Encoding"), encodingGzip) {
			handler.ServeHTTP(w, r)
			return
		}
		writer := &compressingWriter{ResponseWriter: w, status: http.StatusOK}
		handler.ServeHTTP(writer, r)
		writer.finish()
	})
}

// compressingWriter buffers a response until it is complete.
type compressingWriter struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader records the status.
func (w *compressingWriter) WriteHeader(status int) { w.status = status }

// Write buffers a part of the body.
func (w *compressingWriter) Write(data []byte) (int, error) { return w.body.Write(data) }

// finish sends the response, compressed if that makes it smaller. A write error
// is ignored: it ends the connection, which the client notices.
func (w *compressingWriter) finish() {
	body := w.body.Bytes()
	if compressed, err := compress(body); err == nil && len(compressed) < len(body) {
		w.Header().Set("Content-Encoding", encodingGzip)
		body = compressed
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.ResponseWriter.WriteHeader(w.status)
	_, _ = w.ResponseWriter.Write(body)
}

// compress returns the compressed body, or the body itself if it is small.
func compress(body []byte) ([]byte, error) {
	if len(body) < minCompressedBytes {
		return body, nil
	}
	compressed := bytes.Buffer{}
	writer, err := gzip.NewWriterLevel(&compressed, compressionLevel)
	if err != nil {
		return nil, errors.Errorf("create gzip writer: %w", err)
	}
	if _, err := writer.Write(body); err != nil {
		return nil, errors.Errorf("compress body: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Errorf("finish compressed body: %w", err)
	}
	return compressed.Bytes(), nil
}

// compressingTransport is a transport that compresses the bodies of larger requests and
// accepts compressed responses.
type compressingTransport struct {
	next *http.Transport
}

// newCompressingTransport returns a transport that sends over next. It turns on
// decompression in next.
func newCompressingTransport(next *http.Transport) *compressingTransport {
	next.DisableCompression = false
	return &compressingTransport{next: next}
}

// RoundTrip sends a request, with its body compressed if that is large enough.
func (c *compressingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Body == nil || request.ContentLength < minCompressedBytes {
		return c.next.RoundTrip(request)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, errors.Errorf("read request body: %w", err)
	}
	_ = request.Body.Close()
	compressed, err := compress(body)
	if err != nil {
		return nil, err
	}
	sent := request.Clone(request.Context())
	sent.Header.Set("Content-Encoding", encodingGzip)
	sent.Body = io.NopCloser(bytes.NewReader(compressed))
	sent.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(compressed)), nil }
	sent.ContentLength = int64(len(compressed))
	return c.next.RoundTrip(sent)
}
