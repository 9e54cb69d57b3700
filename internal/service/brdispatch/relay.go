package brdispatch

import (
	"fmt"
	"io"
	"sync"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

const relayBuffer = 32 << 10 // bytes

var relayBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, relayBuffer)
	return &buffer
}}

// errCut says that the server's answer ended before it was whole.
type errCut struct {
	cause error
}

// Error returns the message with its cause.
func (e errCut) Error() string { return fmt.Sprintf("answer was cut: %v", e.cause) }

// Unwrap returns the cause.
func (e errCut) Unwrap() error { return e.cause }

func isErrCut(err error) bool {
	_, ok := errors.Into[errCut](err)
	return ok
}

// relay writes an answer as it arrives. It returns errCut where the server
// broke it off, and another error where the caller took no more.
func relay(answer *brmessage.Answer, writer Writer) error {
	if err := writer.WriteHead(answer.Status(), answer.Fields()); err != nil {
		return errors.Errorf("write head of answer: %w", err)
	}
	buffer, _ := relayBuffers.Get().(*[]byte)
	defer relayBuffers.Put(buffer)
	if _, err := io.CopyBuffer(onlyWriter{writer}, cutReader{answer.Body()}, *buffer); err != nil {
		return errors.Errorf("relay body of answer: %w", err)
	}
	if err := writer.WriteTrailers(answer.Trailers()); err != nil {
		return errors.Errorf("write trailers of answer: %w", err)
	}
	return nil
}

// onlyWriter hides all but Write, so that the copy uses the buffer.
type onlyWriter struct {
	io.Writer
}

// cutReader marks the errors of the server's side.
type cutReader struct {
	source io.Reader
}

// Read reads from the server.
func (r cutReader) Read(part []byte) (int, error) {
	n, err := r.source.Read(part)
	if err != nil && !errors.Is(err, io.EOF) {
		err = errCut{cause: err}
	}
	return n, err
}
