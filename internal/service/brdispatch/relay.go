package brdispatch

import (
	"fmt"
	"io"
	"sync"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

// relayBufferSize is the size of the copy buffers, in bytes.
const relayBufferSize = 32 << 10

var relayBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, relayBufferSize)
	return &buffer
}}

// errTruncated is returned if reading the server's response failed before its end.
type errTruncated struct {
	cause error
}

// Error implements error.
func (e errTruncated) Error() string { return fmt.Sprintf("response truncated: %v", e.cause) }

// Unwrap returns the error of the read.
func (e errTruncated) Unwrap() error { return e.cause }

func isErrTruncated(err error) bool {
	_, ok := errors.Into[errTruncated](err)
	return ok
}

// relay streams a response to the caller. It returns errTruncated if the server failed,
// and another error if writing to the caller failed.
func relay(response *brmessage.Response, writer Writer) error {
	if err := writer.WriteHead(response.Status(), response.Fields()); err != nil {
		return errors.Errorf("write response header: %w", err)
	}
	buffer, _ := relayBuffers.Get().(*[]byte)
	defer relayBuffers.Put(buffer)
	if _, err := io.CopyBuffer(onlyWriter{writer}, responseReader{response.Body()}, *buffer); err != nil {
		return errors.Errorf("relay response body: %w", err)
	}
	if err := writer.WriteTrailers(response.Trailers()); err != nil {
		return errors.Errorf("write response trailers: %w", err)
	}
	return nil
}

// onlyWriter hides all methods but Write, so that io.CopyBuffer uses the pooled
// buffer instead of a ReadFrom method of the writer.
type onlyWriter struct {
	io.Writer
}

// responseReader wraps read errors in errTruncated, to distinguish them from write errors.
type responseReader struct {
	source io.Reader
}

// Read implements io.Reader.
func (r responseReader) Read(part []byte) (int, error) {
	n, err := r.source.Read(part)
	if err != nil && !errors.Is(err, io.EOF) {
		err = errTruncated{cause: err}
	}
	return n, err
}
