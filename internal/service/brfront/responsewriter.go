package brfront

import (
	"net/http"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
)

// writeTimeout is the longest time that a client may take to receive one part of a
// response.
const writeTimeout = 30 * time.Second

// responseWriter records whether the response was started, closes the connection after
// the response if the VM is stopping, and fails if the client stops reading.
type responseWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	clock   brclock.Clock
	closing bool
	started bool
}

func newResponseWriter(w http.ResponseWriter, clock brclock.Clock, closing bool) *responseWriter {
	writer := &responseWriter{ResponseWriter: w, control: http.NewResponseController(w), clock: clock, closing: closing}
	// The deadline of an earlier response on the connection must not apply to this one.
	_ = writer.control.SetWriteDeadline(time.Time{})
	writer.setConnectionClose()
	return writer
}

// WriteHeader starts the response, unless the status is informational.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.start()
	}
	w.extendDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body and extends the write deadline.
func (w *responseWriter) Write(part []byte) (int, error) {
	w.start()
	w.extendDeadline()
	return w.ResponseWriter.Write(part)
}

// FlushError sends buffered data to the client.
func (w *responseWriter) FlushError() error {
	w.start()
	w.extendDeadline()
	return w.control.Flush()
}

// Flush sends buffered data to the client and ignores errors.
func (w *responseWriter) Flush() { _ = w.FlushError() }

// Unwrap returns the server's writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *responseWriter) start() {
	if w.started {
		return
	}
	w.started = true
	w.setConnectionClose()
}

// setConnectionClose sets the header field that closes the connection. It is called
// again when the response starts, since the handler may have replaced the header.
func (w *responseWriter) setConnectionClose() {
	if w.closing {
		w.Header().Set("Connection", "close")
	}
}

func (w *responseWriter) extendDeadline() {
	_ = w.control.SetWriteDeadline(w.clock.Now().Add(writeTimeout))
}
