package brfront

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
)

// minRateBody is a request body that fails when the client sends it more slowly than
// the minimum rate. Only the time spent waiting for the client counts.
type minRateBody struct {
	io.ReadCloser
	control    *http.ResponseController
	clock      brclock.Clock
	limits     brsettings.Limits
	waitBudget time.Duration // time for which reads may still wait for the client
	deadline   time.Time     // of all reads; zero if there is none
	ended      atomic.Bool
}

func newMinRateBody(body io.ReadCloser, w http.ResponseWriter, clock brclock.Clock, limits brsettings.Limits) *minRateBody {
	return &minRateBody{
		ReadCloser: body,
		control:    http.NewResponseController(w),
		clock:      clock,
		limits:     limits,
		waitBudget: limits.BodyGrace(),
	}
}

// SetDeadline sets the time after which reads fail, whatever the rate; the zero time removes it.
// It must not be called while a read is in progress.
func (b *minRateBody) SetDeadline(deadline time.Time) { b.deadline = deadline }

// Read reads a part of the body.
func (b *minRateBody) Read(part []byte) (int, error) {
	began := b.clock.Now()
	until := began.Add(b.waitBudget)
	if !b.deadline.IsZero() && b.deadline.Before(until) {
		until = b.deadline
	}
	_ = b.control.SetReadDeadline(until)
	n, err := b.ReadCloser.Read(part)
	earned := time.Duration(n) * time.Second / time.Duration(b.limits.BodyRate())
	b.waitBudget = min(b.waitBudget-b.clock.Now().Sub(began)+earned, b.limits.BodyGrace())
	if err != nil {
		b.ended.Store(true)
	}
	// The server keeps reading from the connection to detect that the client closed
	// it. A deadline that is still set would look like a closed connection.
	_ = b.control.SetReadDeadline(time.Time{})
	return n, err
}

// finish bounds the time in which the server reads the rest of a body that the handler
// has not read to its end.
func (b *minRateBody) finish() {
	if !b.ended.Load() {
		_ = b.control.SetReadDeadline(b.clock.Now().Add(b.limits.BodyGrace()))
	}
}
