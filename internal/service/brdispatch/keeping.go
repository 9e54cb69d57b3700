package brdispatch

import (
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brclaim"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

// maxKeptAnswer is the size in bytes of the largest body that is stored for replay.
const maxKeptAnswer = 64 << 10

var errAnswerLarge = errors.New("caller disconnected and answer is too large to store")

// keepingWriter forwards an answer to the caller and copies it for replay, as long
// as it is small enough. It keeps reading the answer after the caller has
// disconnected, until it is clear that the copy can't be stored.
type keepingWriter struct {
	caller   Writer
	gone     error
	status   int
	fields   brmessage.Fields
	body     []byte
	unkept   bool
	trailers bool
}

// WriteHead copies and forwards the head of the answer. An error of the caller is
// kept in the writer, so that the copy goes on.
func (w *keepingWriter) WriteHead(status int, fields brmessage.Fields) error {
	w.status = status
	w.fields = fields.Clone()
	w.gone = w.caller.WriteHead(status, fields)
	return nil
}

// Write copies a part of the body and forwards it while the caller is connected.
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

// WriteTrailers forwards the trailers. An answer with trailers is not stored, since
// the record has no place for them.
func (w *keepingWriter) WriteTrailers(fields brmessage.Fields) error {
	for range fields.All() {
		w.trailers = true
	}
	if w.gone == nil {
		w.gone = w.caller.WriteTrailers(fields)
	}
	return nil
}

// record returns the record of a request that ran, with its answer if that is
// complete and can be replayed.
func (w *keepingWriter) record(claim brclaim.Claim, whole bool) brclaim.Record {
	record := brclaim.NewRecord(claim)
	if !whole || w.unkept || w.trailers {
		return record.WithState(brclaim.StateRan)
	}
	return record.WithAnswer(brclaim.NewAnswer(w.status, w.fields, w.body))
}
