package brproxy

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// callerFailure records that a streamed body could not be read from the caller, or that a
// response could not be written to it, so that the attempt's failure is not blamed on the
// server. The context of a request ends only later, or not at all if the caller stalls.
type callerFailure struct {
	failed atomic.Bool
}

// callerBody is a streamed body from the caller.
type callerBody struct {
	io.Reader
	failure *callerFailure
}

// Read reads a part of the body.
func (c callerBody) Read(part []byte) (int, error) {
	n, err := c.Reader.Read(part)
	if err != nil && !errors.Is(err, io.EOF) {
		c.failure.failed.Store(true)
	}
	return n, err
}

// callerWriter writes a response to the caller.
type callerWriter struct {
	Writer
	failure *callerFailure
}

// Write writes a part of the response.
func (c callerWriter) Write(part []byte) (int, error) {
	n, err := c.Writer.Write(part)
	if err != nil {
		c.failure.failed.Store(true)
	}
	return n, err
}
