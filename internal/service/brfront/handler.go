package brfront

import (
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
)

// Reasons of responses that the front writes itself.
const (
	// ReasonPanicked says that the handler of a request panicked.
	ReasonPanicked brrequest.Reason = "handler-panicked"
	// ReasonOldProtocol says that a request used HTTP/1.0.
	ReasonOldProtocol brrequest.Reason = "old-protocol"
)

// retryAfter is the Retry-After time while a front has reached its limit of requests.
const retryAfter = time.Second

// Refuse writes an error response in the format of the front's API.
type Refuse func(w http.ResponseWriter, status int, fate brrequest.Fate, reason brrequest.Reason, retryAfter time.Duration)

// Dependencies holds the dependencies that all fronts of a VM share.
type Dependencies struct {
	clock  brclock.Clock
	logger *log.Logger
	events brevent.Recorder
	refuse Refuse
}

// NewDependencies returns the dependencies that all fronts of a VM share.
func NewDependencies(clock brclock.Clock, logger *log.Logger, events brevent.Recorder, refuse Refuse) Dependencies {
	return Dependencies{clock: clock, logger: logger, events: events, refuse: refuse}
}

// limitHandler is the middleware before a front's handler.
type limitHandler struct {
	front        *Front
	limits       brsettings.Limits
	dependencies Dependencies
	next         http.Handler
}

// ServeHTTP refuses requests beyond the front's limits and passes on the others.
func (h *limitHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer watchClient(r)()
	response := newResponseWriter(w, h.dependencies.clock, h.front.keepAlivesDisabled.Load())
	defer h.front.running.Add(-1)
	if h.front.running.Add(1) > int64(h.limits.Requests()) {
		h.dependencies.refuse(response, http.StatusServiceUnavailable, brrequest.FateNotRun, brrequest.ReasonOverloaded, retryAfter)
		return
	}
	if !r.ProtoAtLeast(1, 1) {
		// In HTTP/1.0, only the end of the connection marks the end of a response,
		// so a client can't detect a truncated one.
		h.dependencies.refuse(response, http.StatusHTTPVersionNotSupported, brrequest.FateNotRun, ReasonOldProtocol, 0)
		return
	}
	if r.ContentLength > h.limits.BodyBytes() {
		h.dependencies.refuse(response, http.StatusRequestEntityTooLarge, brrequest.FateNotRun, brrequest.ReasonBodyTooLarge, 0)
		return
	}
	defer h.recover(response, r)
	if r.Body != nil && r.Body != http.NoBody {
		limited := http.MaxBytesReader(w, r.Body, h.limits.BodyBytes())
		body := newMinRateBody(limited, w, h.dependencies.clock, h.limits)
		// net/http's server recognises a body that has not been read to its end by its own
		// type, and closes the connection. Another type would make it take the rest of the
		// body for the next request.
		defer func(original io.ReadCloser) { r.Body = original }(r.Body)
		defer body.finish()
		r.Body = body
	}
	h.next.ServeHTTP(response, r)
}

// recover logs a panic of the handler and responds that it is unknown whether the
// request ran. If the response has been started, it aborts the connection instead, so
// that the client can't take the response for complete.
func (h *limitHandler) recover(response *responseWriter, r *http.Request) {
	value := recover()
	if value == nil {
		return
	}
	if value == http.ErrAbortHandler {
		panic(value)
	}
	h.dependencies.logger.Error("handler panicked", "front", h.front.name, "path", r.URL.Path, "panic", value, "stack", string(debug.Stack()))
	h.dependencies.events.Record(brevent.New(brevent.KindHandlerPanicked).
		WithResource(h.front.name).
		WithDetail("panic", fmt.Sprint(value)))
	if response.started {
		panic(http.ErrAbortHandler)
	}
	h.dependencies.refuse(response, http.StatusInternalServerError, brrequest.FateUnknown, ReasonPanicked, 0)
}
