package brdispatch

import (
	"io"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

var errBodyTooLarge = errors.New("request body exceeds the route's limit")

// limited returns the call with a body that returns errBodyTooLarge beyond the
// limit in bytes. A call with a known size is returned unchanged, since its size
// is checked before the body is read.
func limited(call brmessage.Call, most int64) brmessage.Call {
	if call.Body() == nil || call.Size() >= 0 {
		return call
	}
	body := &limitedBody{source: call.Body(), left: most}
	return brmessage.NewCall(call.Method(), call.Target(), call.Fields(), body, call.Size())
}

type limitedBody struct {
	source io.Reader
	left   int64 // bytes
}

// Read reads up to one byte beyond the limit, to distinguish a body that exceeds
// the limit from one that just fits.
func (b *limitedBody) Read(part []byte) (int, error) {
	if int64(len(part)) > b.left+1 {
		part = part[:b.left+1]
	}
	n, err := b.source.Read(part)
	if int64(n) > b.left {
		n = int(b.left)
		b.left = 0
		return n, errBodyTooLarge
	}
	b.left -= int64(n)
	return n, err
}
