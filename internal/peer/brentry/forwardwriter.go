package brentry

import (
	"net/http"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brduplex"
)

// forwardWriter writes a server's response to the VM that forwarded the request.
type forwardWriter struct {
	response http.ResponseWriter
	body     *brduplex.Body
}

// WriteHead writes the status and the header fields.
func (w *forwardWriter) WriteHead(status int, fields brmessage.Fields) error {
	header := w.response.Header()
	for name, values := range fields.All() {
		header[name] = values
	}
	header.Set(fieldFate, string(brrequest.FateRan))
	w.body.PrepareResponse(w.response)
	w.response.WriteHeader(status)
	return w.flush()
}

// Write writes a part of the body and flushes it.
func (w *forwardWriter) Write(data []byte) (int, error) {
	n, err := w.response.Write(data)
	if err != nil {
		return n, errors.Errorf("write response to VM: %w", err)
	}
	return n, w.flush()
}

// WriteTrailers sets the trailers of a complete response.
func (w *forwardWriter) WriteTrailers(fields brmessage.Fields) error {
	for name, values := range fields.All() {
		w.response.Header()[http.TrailerPrefix+name] = values
	}
	return nil
}

func (w *forwardWriter) flush() error {
	if err := http.NewResponseController(w.response).Flush(); err != nil {
		return errors.Errorf("flush response to VM: %w", err)
	}
	return nil
}
