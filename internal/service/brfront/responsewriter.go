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
	a := &responseWriter{ResponseWriter: w, control: http.NewResponseController(w), clock: clock, closing: closing}
	// The deadline of an earlier response on the connection must not apply to this one.
	_ = a.control.SetWriteDeadline(time.Time{})
	a.setConnectionClose()
	return a
}

// WriteHeader starts the response, unless the status is informational.
func (a *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		a.start()
	}
	a.extendDeadline()
	a.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body and extends the write deadline.
func (a *responseWriter) Write(part []byte) (int, error) {
	a.start()
	a.extendDeadline()
	return a.ResponseWriter.Write(part)
}

// FlushError sends buffered data to the client.
func (a *responseWriter) FlushError() error {
	a.start()
	a.extendDeadline()
	return a.control.Flush()
}

// Flush sends buffered data to the client and ignores errors.
func (a *responseWriter) Flush() { _ = a.FlushError() }

// Unwrap returns the server's writer, for http.ResponseController.
func (a *responseWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

func (a *responseWriter) start() {
	if a.started {
		return
	}
	a.started = true
	a.setConnectionClose()
}

// setConnectionClose sets the header field that closes the connection. It is called
// again when the response starts, since the handler may have replaced the header.
func (a *responseWriter) setConnectionClose() {
	if a.closing {
		a.Header().Set("Connection", "close")
	}
}

func (a *responseWriter) extendDeadline() {
	_ = a.control.SetWriteDeadline(a.clock.Now().Add(writeTimeout))
}
