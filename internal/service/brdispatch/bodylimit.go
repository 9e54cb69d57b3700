package brdispatch

import (
	"io"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

var errBodyTooLarge = errors.New("request body exceeds the route's limit")

// limitBody returns the call with a body that returns errBodyTooLarge beyond the
// limit in bytes. A call with a known size is returned unchanged, since its size
// is checked before the body is read.
func limitBody(call brmessage.Call, limit int64) brmessage.Call {
	if call.Body() == nil || call.Size() >= 0 {
		return call
	}
	body := &limitedBody{source: call.Body(), remaining: limit}
	return brmessage.NewCall(call.Method(), call.Target(), call.Fields(), body, call.Size())
}

type limitedBody struct {
	source    io.Reader
	remaining int64 // bytes
}

// Read reads up to one byte beyond the limit, to distinguish a body that exceeds
// the limit from one that just fits.
func (b *limitedBody) Read(part []byte) (int, error) {
	if int64(len(part)) > b.remaining+1 {
		part = part[:b.remaining+1]
	}
	n, err := b.source.Read(part)
	if int64(n) > b.remaining {
		n = int(b.remaining)
		b.remaining = 0
		return n, errBodyTooLarge
	}
	b.remaining -= int64(n)
	return n, err
}
