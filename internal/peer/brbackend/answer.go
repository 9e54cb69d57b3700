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
	// FieldShed marks a 503 of a server that refused a request before running
	// it. Nothing else in an answer says so.
	FieldShed = "Bergamotroad-Shed"
	shedValue = "1"

	maxShedBody = 4 << 10 // bytes read so that the connection can be used again
)

// answerOf returns the answer, or the error that stands for it.
func answerOf(response *http.Response) (*brmessage.Answer, error) {
	if response.StatusCode == http.StatusSwitchingProtocols {
		_ = response.Body.Close()
		return nil, ErrOutcomeUnknown{cause: errors.New("server switched protocols unasked")}
	}
	if isShed(response) {
		return nil, shedOf(response)
	}
	return NewAnswer(response), nil
}

// NewAnswer returns what is passed on of an answer.
func NewAnswer(response *http.Response) *brmessage.Answer {
	body := response.Body
	if endsWithConnection(response) {
		body = &unboundedBody{ReadCloser: body}
	}
	trailers := func() brmessage.Fields { return brmessage.EndToEnd(response.Trailer) }
	return brmessage.NewAnswer(response.StatusCode, brmessage.EndToEnd(response.Header), body, trailers)
}

func isShed(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(FieldShed) == shedValue
}

func shedOf(response *http.Response) ErrShed {
	_, _ = io.CopyN(io.Discard, response.Body, maxShedBody)
	_ = response.Body.Close()
	seconds, err := strconv.ParseUint(response.Header.Get("Retry-After"), 10, 16)
	if err != nil {
		return ErrShed{}
	}
	return ErrShed{retryAfter: time.Duration(seconds) * time.Second}
}

// endsWithConnection reports whether only the end of the connection marks the
// end of the body, so that a cut can't be told from the end.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 &&
		response.ProtoMajor == 1 &&
		response.Body != http.NoBody &&
		!slices.Contains(response.TransferEncoding, "chunked")
}

// unboundedBody never ends as a whole one.
type unboundedBody struct {
	io.ReadCloser
}

// Read returns io.ErrUnexpectedEOF at the end.
func (b *unboundedBody) Read(part []byte) (int, error) {
	n, err := b.ReadCloser.Read(part)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
