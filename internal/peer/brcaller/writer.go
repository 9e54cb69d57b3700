package brcaller

import (
	"net/http"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brduplex"
)

// responseWriter writes the response of a backend server to the caller.
type responseWriter struct {
	response       http.ResponseWriter
	id             string
	body           *brduplex.Body
	flushEachWrite bool
}

// WriteHead writes the status and the header fields. A body of unknown length is
// flushed after each write.
func (w *responseWriter) WriteHead(status int, fields brmessage.Fields) error {
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
	w.body.PrepareResponse(w.response)
	w.response.WriteHeader(status)
	w.flushEachWrite = fields.First("Content-Length") == ""
	return nil
}

// Write writes body data.
func (w *responseWriter) Write(data []byte) (int, error) {
	n, err := w.response.Write(data)
	if err != nil {
		return n, errors.Errorf("write response to caller: %w", err)
	}
	if !w.flushEachWrite {
		return n, nil
	}
	if err := http.NewResponseController(w.response).Flush(); err != nil {
		return n, errors.Errorf("flush response to caller: %w", err)
	}
	return n, nil
}

// WriteTrailers writes the trailers of a complete response.
func (w *responseWriter) WriteTrailers(fields brmessage.Fields) error {
	for name, values := range fields.All() {
		w.response.Header()[http.TrailerPrefix+name] = values
	}
	return nil
}
