package brentry

import (
	"context"
	"io"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/service/brdispatch"
)

// maxChunk bounds the bytes that are sent at a time, so that a small request
// waits for no more than that of a large one.
const maxChunk = 32 << 10

// Pacing paces what is sent to VMs of other regions.
type Pacing interface {
	// Wait returns when up to maxChunk bytes of a stream may be sent to a
	// failure domain.
	Wait(ctx context.Context, domain, stream string, bytes int64) error
}

// stream is one direction of a forwarded request.
type stream struct {
	context context.Context
	pacing  Pacing
	domain  string
	name    string
}

func (s stream) wait(bytes int) error {
	if err := s.pacing.Wait(s.context, s.domain, s.name, int64(bytes)); err != nil {
		return errors.Errorf("wait for link: %w", err)
	}
	return nil
}

// pacedBody is the body of a request on its way to another region.
type pacedBody struct {
	stream stream
	body   io.Reader
}

// Read reads a part of the body once the link bears it.
func (b *pacedBody) Read(part []byte) (int, error) {
	n, err := b.body.Read(part[:min(len(part), maxChunk)])
	if n == 0 {
		return n, err
	}
	if waited := b.stream.wait(n); waited != nil {
		return 0, waited
	}
	return n, err
}

// pacedWriter writes an answer on its way to another region.
type pacedWriter struct {
	brdispatch.Writer
	stream stream
}

// Write writes a part of the body once the link bears it.
func (w *pacedWriter) Write(part []byte) (int, error) {
	written := 0
	for written < len(part) {
		chunk := part[written:min(written+maxChunk, len(part))]
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

// paced returns the call with its body paced.
func paced(call brmessage.Call, s stream) brmessage.Call {
	if call.Body() == nil {
		return call
	}
	body := &pacedBody{stream: s, body: call.Body()}
	return brmessage.NewCall(call.Method(), call.Target(), call.Fields(), body, call.Size())
}
