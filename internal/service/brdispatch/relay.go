package brdispatch

import (
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

// relay writes an answer as it arrives. It returns an error where the answer
// was cut short or the caller took no more.
func relay(answer *brmessage.Answer, writer Writer) error {
	if err := writer.WriteHead(answer.Status(), answer.Fields()); err != nil {
		return errors.Errorf("write head of answer: %w", err)
	}
	buffer, _ := relayBuffers.Get().(*[]byte)
	defer relayBuffers.Put(buffer)
	if _, err := io.CopyBuffer(onlyWriter{writer}, answer.Body(), *buffer); err != nil {
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
