package brdispatch

import (
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brclaim"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

// maxStoredResponseSize is the size in bytes of the largest response body that is stored
// for replay.
const maxStoredResponseSize = 64 << 10

var errResponseTooLarge = errors.New("caller disconnected and response is too large to store")

// recordingWriter forwards a response to the caller and copies it for replay, as long
// as it is small enough. It keeps reading the response after the caller has
// disconnected, until it is clear that the copy can't be stored.
type recordingWriter struct {
	caller      Writer
	callerErr   error
	status      int
	fields      brmessage.Fields
	body        []byte
	tooLarge    bool
	hasTrailers bool
}

// WriteHead copies and forwards the header of the response. A write error is kept
// in callerErr instead of returned, so that copying continues.
func (w *recordingWriter) WriteHead(status int, fields brmessage.Fields) error {
	w.status = status
	w.fields = fields.Clone()
	w.callerErr = w.caller.WriteHead(status, fields)
	return nil
}

// Write copies a part of the body and forwards it while the caller is connected.
func (w *recordingWriter) Write(part []byte) (int, error) {
	w.copy(part)
	if w.callerErr == nil {
		_, w.callerErr = w.caller.Write(part)
	}
	if w.callerErr != nil && w.tooLarge {
		return 0, errResponseTooLarge
	}
	return len(part), nil
}

func (w *recordingWriter) copy(part []byte) {
	if w.tooLarge || len(w.body)+len(part) > maxStoredResponseSize {
		w.tooLarge = true
		w.body = nil
		return
	}
	w.body = append(w.body, part...)
}

// WriteTrailers forwards the trailers. A response with trailers is not stored, since
// the record has no place for them.
func (w *recordingWriter) WriteTrailers(fields brmessage.Fields) error {
	for range fields.All() {
		w.hasTrailers = true
	}
	if w.callerErr == nil {
		w.callerErr = w.caller.WriteTrailers(fields)
	}
	return nil
}

// record returns the record of a request that ran, with its response if that is
// complete and can be replayed.
func (w *recordingWriter) record(claim brclaim.Claim, complete bool) brclaim.Record {
	record := brclaim.NewRecord(claim)
	if !complete || w.tooLarge || w.hasTrailers {
		return record.WithState(brclaim.StateRan)
	}
	return record.WithResponse(brclaim.NewResponse(w.status, w.fields, w.body))
}
