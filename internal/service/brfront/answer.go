package brfront

import (
	"net/http"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
)

// writeTimeout is the longest time that a client may take for a part of its answer.
const writeTimeout = 30 * time.Second

// answer knows whether it has begun, closes its connection where the VM leaves,
// and fails where the client takes no more of it.
type answer struct {
	http.ResponseWriter
	control *http.ResponseController
	clock   brclock.Clock
	closing bool
	started bool
}

func newAnswer(w http.ResponseWriter, clock brclock.Clock, closing bool) *answer {
	a := &answer{ResponseWriter: w, control: http.NewResponseController(w), clock: clock, closing: closing}
	// The deadline of an earlier answer on the connection is not for this one.
	_ = a.control.SetWriteDeadline(time.Time{})
	return a
}

// WriteHeader begins the answer.
func (a *answer) WriteHeader(status int) {
	if status >= http.StatusOK {
		a.begin()
	}
	a.extend()
	a.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (a *answer) Write(part []byte) (int, error) {
	a.begin()
	a.extend()
	return a.ResponseWriter.Write(part)
}

// FlushError sends what was written.
func (a *answer) FlushError() error {
	a.begin()
	a.extend()
	return a.control.Flush()
}

// Flush sends what was written.
func (a *answer) Flush() { _ = a.FlushError() }

// Unwrap returns the server's writer.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

func (a *answer) begin() {
	if a.started {
		return
	}
	a.started = true
	if a.closing {
		a.Header().Set("Connection", "close")
	}
}

func (a *answer) extend() {
	_ = a.control.SetWriteDeadline(a.clock.Now().Add(writeTimeout))
}
