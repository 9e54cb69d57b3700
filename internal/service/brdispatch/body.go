package brdispatch

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

// maxKeptBody is the size of the largest body that is read whole before the
// request is sent, in bytes.
const maxKeptBody = 16 << 10

var errBodySealed = errors.New("body belongs to a later attempt")

// body gives each attempt the request's body from its beginning.
type body struct {
	kept   []byte
	stream *stream
}

// takeBody reads a small body whole and leaves a large one to be streamed.
func takeBody(call brmessage.Call) (*body, error) {
	if call.Body() == nil || call.Size() == 0 {
		return &body{}, nil
	}
	if call.Size() < 0 || call.Size() > maxKeptBody {
		return &body{stream: &stream{source: call.Body()}}, nil
	}
	kept := make([]byte, call.Size())
	if _, err := io.ReadFull(call.Body(), kept); err != nil {
		return nil, errors.Errorf("read body of request: %w", err)
	}
	return &body{kept: kept}, nil
}

// rewind prepares the body for one more attempt, and reports whether nothing
// of it is lost. The attempt before can read no more.
func (b *body) rewind() bool {
	if b.stream == nil {
		return true
	}
	if !b.stream.use.CompareAndSwap(streamUnread, streamSealed) {
		return false
	}
	b.stream = &stream{source: b.stream.source}
	return true
}

// reader returns the body for the present attempt, or nil where there is none.
func (b *body) reader() io.Reader {
	switch {
	case b.stream != nil:
		return b.stream
	case b.kept != nil:
		return bytes.NewReader(b.kept)
	default:
		return nil
	}
}

// The uses of a stream.
const (
	streamUnread int32 = iota
	streamRead
	streamSealed
)

// stream is a large body, which only the attempt that first reads it gets.
type stream struct {
	source io.Reader
	use    atomic.Int32
}

// Read reads from the caller.
func (s *stream) Read(part []byte) (int, error) {
	s.use.CompareAndSwap(streamUnread, streamRead)
	if s.use.Load() == streamSealed {
		return 0, errBodySealed
	}
	return s.source.Read(part)
}
