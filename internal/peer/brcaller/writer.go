package brcaller

import (
	"net/http"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// answerWriter writes the response of a backend server to the caller.
type answerWriter struct {
	response http.ResponseWriter
	id       string
	streams  bool
}

// WriteHead writes the status and the header fields. A body of unknown length is
// flushed after each write.
func (w *answerWriter) WriteHead(status int, fields brmessage.Fields) error {
	header := w.response.Header()
	for name, values := range fields.All() {
		header[name] = values
	}
	if fields.First("Content-Type") == "" {
		// A nil value keeps net/http from detecting the content type.
		header["Content-Type"] = nil
	}
	header.Set(FieldFate, string(brrequest.FateRan))
	header.Set(FieldRequestID, w.id)
	w.response.WriteHeader(status)
	w.streams = fields.First("Content-Length") == ""
	return nil
}

// Write writes body data.
func (w *answerWriter) Write(part []byte) (int, error) {
	n, err := w.response.Write(part)
	if err != nil {
		return n, errors.Errorf("write response to caller: %w", err)
	}
	if !w.streams {
		return n, nil
	}
	if err := http.NewResponseController(w.response).Flush(); err != nil {
		return n, errors.Errorf("flush response to caller: %w", err)
	}
	return n, nil
}

// WriteTrailers writes the trailers of a complete response.
func (w *answerWriter) WriteTrailers(fields brmessage.Fields) error {
	for name, values := range fields.All() {
		w.response.Header()[http.TrailerPrefix+name] = values
	}
	return nil
}
