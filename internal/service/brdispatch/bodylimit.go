package brdispatch

import (
	"io"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

var errBodyTooLarge = errors.New("body is larger than its route allows")

// limited returns the call with a body that fails beyond a number of bytes. A
// body whose size was told needs no such limit.
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

// Read reads from the body. The byte beyond the limit is read to tell a body
// that is too large from one that just fits.
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
