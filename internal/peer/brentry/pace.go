package brentry

import (
	"context"
	"io"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/service/brdispatch"
)

// maxChunkBytes bounds the bytes that are sent at a time, so that a small request
// waits for at most one chunk of a large one.
const maxChunkBytes = 32 << 10

// BandwidthLimiter limits the rate at which data is sent to VMs of other regions.
type BandwidthLimiter interface {
	// Wait blocks until the given number of bytes of a stream, at most
	// maxChunkBytes, may be sent to a failure domain.
	Wait(ctx context.Context, domain, stream string, bytes int64) error
}

// stream is one direction of a forwarded request.
type stream struct {
	context context.Context
	limiter BandwidthLimiter
	domain  string
	name    string
}

func (s stream) wait(bytes int) error {
	if err := s.limiter.Wait(s.context, s.domain, s.name, int64(bytes)); err != nil {
		return errors.Errorf("wait for bandwidth: %w", err)
	}
	return nil
}

// pacedBody limits the rate at which the body of a forwarded request is read.
type pacedBody struct {
	stream stream
	body   io.Reader
}

// Read reads a chunk of the body and returns it once it may be sent.
func (b *pacedBody) Read(data []byte) (int, error) {
	n, err := b.body.Read(data[:min(len(data), maxChunkBytes)])
	if n == 0 {
		return n, err
	}
	if waitErr := b.stream.wait(n); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// pacedWriter limits the rate at which the response to a forwarded request is
// sent.
type pacedWriter struct {
	brdispatch.Writer
	stream stream
}

// Write writes the data in chunks, each once it may be sent.
func (w *pacedWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		chunk := data[written:min(written+maxChunkBytes, len(data))]
		if err := w.stream.wait(len(chunk)); err != nil {
			return written, err
		}
		n, err := w.Writer.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// withPacing returns the call with a body that is read at the limited rate.
func withPacing(call brmessage.Call, s stream) brmessage.Call {
	if call.Body() == nil {
		return call
	}
	body := &pacedBody{stream: s, body: call.Body()}
	return brmessage.NewCall(call.Method(), call.Target(), call.Fields(), body, call.Size())
}
