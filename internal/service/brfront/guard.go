package brfront

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
)

// ReasonPanicked says that the handler of a request panicked.
const ReasonPanicked brrequest.Reason = "handler-panicked"

// retryAfter is when a client that met a full front should try again.
const retryAfter = time.Second

// Refuse writes a refusal in the form of the front.
type Refuse func(w http.ResponseWriter, status int, fate brrequest.Fate, reason brrequest.Reason, retryAfter time.Duration)

// Parts is what all fronts of a VM share.
type Parts struct {
	clock  brclock.Clock
	logger *log.Logger
	events brevent.Recorder
	refuse Refuse
}

// NewParts returns the parts that fronts share.
func NewParts(clock brclock.Clock, logger *log.Logger, events brevent.Recorder, refuse Refuse) Parts {
	return Parts{clock: clock, logger: logger, events: events, refuse: refuse}
}

// guard stands before a front's handler.
type guard struct {
	front  *Front
	limits brsettings.Limits
	parts  Parts
	next   http.Handler
}

// ServeHTTP refuses what exceeds the front's limits and passes the rest on.
func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := newAnswer(w, g.parts.clock, g.front.leaving.Load())
	defer g.front.running.Add(-1)
	if g.front.running.Add(1) > int64(g.limits.Requests()) {
		g.parts.refuse(answer, http.StatusServiceUnavailable, brrequest.FateNotRun, brrequest.ReasonOverloaded, retryAfter)
		return
	}
	if r.ContentLength > g.limits.BodyBytes() {
		g.parts.refuse(answer, http.StatusRequestEntityTooLarge, brrequest.FateNotRun, brrequest.ReasonBodyTooLarge, 0)
		return
	}
	defer g.recover(answer, r)
	if r.Body != nil && r.Body != http.NoBody {
		limited := http.MaxBytesReader(w, r.Body, g.limits.BodyBytes())
		body := newSteadyBody(limited, w, g.parts.clock, g.limits)
		defer body.finish()
		r.Body = body
	}
	g.next.ServeHTTP(answer, r)
}

// recover reports a panic of the handler. Whether the request ran is not known
// then. An answer that has begun is cut, so that it can't be taken for whole.
func (g *guard) recover(answer *answer, r *http.Request) {
	value := recover()
	if value == nil {
		return
	}
	if value == http.ErrAbortHandler {
		panic(value)
	}
	g.parts.logger.Error("handler panicked", "front", g.front.name, "path", r.URL.Path, "panic", value, "stack", string(debug.Stack()))
	g.parts.events.Record(brevent.New(brevent.KindHandlerPanicked).
		WithResource(g.front.name).
		WithDetail("panic", fmt.Sprint(value)))
	if answer.started {
		panic(http.ErrAbortHandler)
	}
	g.parts.refuse(answer, http.StatusInternalServerError, brrequest.FateUnknown, ReasonPanicked, 0)
}
