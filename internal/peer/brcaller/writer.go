package brcaller

import (
	"net/http"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// answerWriter writes a backend server's answer to the caller.
type answerWriter struct {
	response http.ResponseWriter
	id       string
	streams  bool
}

// WriteHead writes status and fields. An answer of unknown length is sent part by part.
func (w *answerWriter) WriteHead(status int, fields brmessage.Fields) error {
	header := w.response.Header()
	for name, values := range fields.All() {
		header[name] = values
	}
	if fields.First("Content-Type") == "" {
		// An empty list keeps net/http from guessing one.
		header["Content-Type"] = nil
	}
	header.Set(FieldFate, string(brrequest.FateRan))
	header.Set(FieldRequestID, w.id)
	w.response.WriteHeader(status)
	w.streams = fields.First("Content-Length") == ""
	return nil
}

// Write writes a part of the body.
func (w *answerWriter) Write(part []byte) (int, error) {
	n, err := w.response.Write(part)
	if err != nil {
		return n, errors.Errorf("write answer to caller: %w", err)
	}
	if !w.streams {
		return n, nil
	}
	if err := http.NewResponseController(w.response).Flush(); err != nil {
		return n, errors.Errorf("flush answer to caller: %w", err)
	}
	return n, nil
}

// WriteTrailers writes the trailers of a whole answer.
func (w *answerWriter) WriteTrailers(fields brmessage.Fields) error {
	for name, values := range fields.All() {
		w.response.Header()[http.TrailerPrefix+name] = values
	}
	return nil
}
