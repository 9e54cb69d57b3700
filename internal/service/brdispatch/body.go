package brdispatch

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

// maxBufferedBodySize is the size in bytes up to which a body is buffered, so that an
// attempt after a partial read can send it again.
const maxBufferedBodySize = 16 << 10

var errBodySuperseded = errors.New("request body now belongs to a later attempt")

// body provides the request's body to each attempt from its first byte.
type body struct {
	buffered []byte
	stream   *stream
}

// bufferBody buffers a small body. A large body, or one of unknown size, is streamed.
func bufferBody(call brmessage.Call) (*body, error) {
	if call.Body() == nil || call.Size() == 0 {
		return &body{}, nil
	}
	if call.Size() < 0 || call.Size() > maxBufferedBodySize {
		return &body{stream: &stream{source: call.Body()}}, nil
	}
	buffered := make([]byte, call.Size())
	if _, err := io.ReadFull(call.Body(), buffered); err != nil {
		return nil, errors.Errorf("read request body: %w", err)
	}
	return &body{buffered: buffered}, nil
}

// rewind prepares the body for another attempt. It returns false if bytes of a
// streamed body have been consumed already. Afterwards the previous attempt gets
// an error when it reads.
func (b *body) rewind() bool {
	if b.stream == nil {
		return true
	}
	if !b.stream.state.CompareAndSwap(streamUnread, streamSuperseded) {
		return false
	}
	b.stream = &stream{source: b.stream.source}
	return true
}

// reader returns the body for the current attempt, or nil if there is none.
func (b *body) reader() io.Reader {
	switch {
	case b.stream != nil:
		return b.stream
	case b.buffered != nil:
		return bytes.NewReader(b.buffered)
	default:
		return nil
	}
}

// States of a stream.
const (
	streamUnread int32 = iota
	streamRead
	streamSuperseded
)

// stream is a body that is not buffered. Only one attempt can read from it.
type stream struct {
	source io.Reader
	state  atomic.Int32
}

// Read reads from the caller, unless a later attempt has taken over the body.
func (s *stream) Read(part []byte) (int, error) {
	s.state.CompareAndSwap(streamUnread, streamRead)
	if s.state.Load() == streamSuperseded {
		return 0, errBodySuperseded
	}
	return s.source.Read(part)
}
