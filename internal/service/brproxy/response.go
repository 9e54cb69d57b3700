package brproxy

import (
	"bytes"
	"context"
	"io"

	"github.com/go-faster/errors"
)

const (
	// maxBufferedResponse is the largest response that is buffered before it is sent
	// to the caller, so that the request can be retried if the response is truncated.
	maxBufferedResponse = 256 << 10 // bytes
	// unreservedResponse is the size up to which responses are buffered without a
	// reservation. The number of requests in progress bounds them.
	unreservedResponse = 16 << 10 // bytes
	// responseReservation is the memory of the largest buffered response: the buffer grows by
	// a quarter.
	responseReservation = maxBufferedResponse * 5 / 4
)

// bufferResponse reads a response's body up to maxBufferedResponse, or up to
// unreservedResponse if the memory for more does not fit. It reports whether that is the whole
// body. The caller holds the memory: it may not read the response.
func (j *job) bufferResponse(ctx context.Context, source io.Reader) (prefix []byte, whole bool, err error) {
	prefix, err = io.ReadAll(io.LimitReader(source, unreservedResponse+1))
	if err != nil {
		return nil, false, errors.Errorf("read response: %w", err)
	}
	if len(prefix) <= unreservedResponse {
		return prefix, true, nil
	}
	if j.responseReserved == 0 {
		if !j.memory.Grow(ctx, j.holder(), 0, responseReservation) {
			return prefix, false, nil
		}
		j.responseReserved = responseReservation
	}
	rest, err := io.ReadAll(io.MultiReader(bytes.NewReader(prefix), io.LimitReader(source, int64(maxBufferedResponse-len(prefix)+1))))
	if err != nil {
		return nil, false, errors.Errorf("read response: %w", err)
	}
	return rest, len(rest) <= maxBufferedResponse, nil
}
