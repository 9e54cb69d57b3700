package brdispatch

import (
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brclaim"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

const maxKeptAnswer = 64 << 10 // bytes of body

var errAnswerLarge = errors.New("caller is gone and answer is too large to keep")

// keepingWriter passes an answer on and copies it as far as it may be kept. It
// takes the answer also where the caller does not.
type keepingWriter struct {
	caller   Writer
	gone     error
	status   int
	fields   brmessage.Fields
	body     []byte
	unkept   bool
	trailers bool
}

// WriteHead starts the answer.
func (w *keepingWriter) WriteHead(status int, fields brmessage.Fields) error {
	w.status = status
	w.fields = fields.Clone()
	w.gone = w.caller.WriteHead(status, fields)
	return nil
}

// Write takes a part of the body.
func (w *keepingWriter) Write(part []byte) (int, error) {
	w.copy(part)
	if w.gone == nil {
		_, w.gone = w.caller.Write(part)
	}
	if w.gone != nil && w.unkept {
		return 0, errAnswerLarge
	}
	return len(part), nil
}

func (w *keepingWriter) copy(part []byte) {
	if w.unkept || len(w.body)+len(part) > maxKeptAnswer {
		w.unkept = true
		w.body = nil
		return
	}
	w.body = append(w.body, part...)
}

// WriteTrailers ends the answer. One with trailers is not kept.
func (w *keepingWriter) WriteTrailers(fields brmessage.Fields) error {
	for range fields.All() {
		w.trailers = true
	}
	if w.gone == nil {
		w.gone = w.caller.WriteTrailers(fields)
	}
	return nil
}

// record returns the record of an attempt that ran.
func (w *keepingWriter) record(claim brclaim.Claim, whole bool) brclaim.Record {
	record := brclaim.NewRecord(claim)
	if !whole || w.unkept || w.trailers {
		return record.WithState(brclaim.StateRan)
	}
	return record.WithAnswer(brclaim.NewAnswer(w.status, w.fields, w.body))
}
