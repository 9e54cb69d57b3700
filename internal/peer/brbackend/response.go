package brbackend

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

const (
	// FieldShed marks a 503 response by which a server rejects a request before
	// running it. No other part of a response indicates this.
	FieldShed = "Bergamotroad-Shed"
	shedValue = "1"

	// maxDiscardedBytes and discardTimeout bound what is read of a body that is not used,
	// so that its connection can be reused.
	maxDiscardedBytes = 4 << 10
	discardTimeout    = 100 * time.Millisecond
)

// decodeResponse converts an HTTP response to a brmessage.Response, or to the error
// that it signals.
func decodeResponse(response *http.Response) (*brmessage.Response, error) {
	if isShed(response) {
		return nil, decodeShed(response)
	}
	return NewResponse(response), nil
}

// NewResponse converts an HTTP response to a brmessage.Response that holds only its
// end-to-end header fields.
func NewResponse(response *http.Response) *brmessage.Response {
	body := response.Body
	if isCloseDelimited(response) {
		body = &closeDelimitedBody{ReadCloser: body}
	}
	trailers := func() brmessage.Fields { return brmessage.EndToEnd(response.Trailer) }
	return brmessage.NewResponse(response.StatusCode, brmessage.EndToEnd(response.Header), body, trailers)
}

func isShed(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(FieldShed) == shedValue
}

// Discard ends a response that is not used, without waiting for its body: a small body that
// comes soon is read, so that the connection can be reused. Otherwise the connection is
// closed.
func Discard(response *http.Response) {
	body := response.Body
	if response.ContentLength <= 0 || response.ContentLength > maxDiscardedBytes {
		_ = body.Close()
		return
	}
	go func() {
		timer := time.AfterFunc(discardTimeout, func() { _ = body.Close() })
		defer timer.Stop()
		_, _ = io.CopyN(io.Discard, body, response.ContentLength)
		_ = body.Close()
	}()
}

func decodeShed(response *http.Response) ErrShed {
	Discard(response)
	seconds, err := strconv.ParseUint(response.Header.Get("Retry-After"), 10, 16)
	if err != nil {
		return ErrShed{}
	}
	return ErrShed{retryAfter: time.Duration(seconds) * time.Second}
}

// isCloseDelimited reports whether the end of the body is marked only by the
// close of the connection, so that a truncated body looks like a complete one.
func isCloseDelimited(response *http.Response) bool {
	return response.ContentLength < 0 &&
		response.ProtoMajor == 1 &&
		untracked(response.Body) != http.NoBody &&
		!slices.Contains(response.TransferEncoding, "chunked")
}

// closeDelimitedBody is a body delimited by the close of its connection. It is
// always reported as truncated.
type closeDelimitedBody struct {
	io.ReadCloser
}

// Read returns io.ErrUnexpectedEOF in place of io.EOF.
func (b *closeDelimitedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
