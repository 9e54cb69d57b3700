package brcaller

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/kataras/iris/v12"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/model/brlocation"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/service/brdispatch"
)

// wellKnown is the prefix of the system's own paths (RFC 8615).
const wellKnown = "/.well-known/bergamotroad/"

// Dispatcher carries requests.
type Dispatcher interface {
	// Dispatch carries a request and writes its answer.
	Dispatch(ctx context.Context, request brrequest.Request, call brmessage.Call, writer brdispatch.Writer) brdispatch.Result
}

// Steering answers look-ups.
type Steering interface {
	// Locate returns the VMs that a caller should use.
	Locate(ctx context.Context, client netip.Addr) (brlocation.Answer, error)
}

// Handler is the callers' front end. It is an http.Handler.
type Handler struct {
	clock      brclock.Clock
	dispatcher Dispatcher
	steering   Steering
	own        http.Handler
}

// NewHandler returns the front end.
func NewHandler(clock brclock.Clock, dispatcher Dispatcher, steering Steering) (*Handler, error) {
	h := &Handler{clock: clock, dispatcher: dispatcher, steering: steering}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get(wellKnown+"lookup", h.lookup)
	if err := app.Build(); err != nil {
		return nil, errors.Errorf("build look-up routes: %w", err)
	}
	h.own = app
	return h, nil
}

// ServeHTTP answers a look-up or carries a request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if len(r.URL.Path) >= len(wellKnown) && r.URL.Path[:len(wellKnown)] == wellKnown {
		h.own.ServeHTTP(w, r)
		return
	}
	if isUnsupported(r) {
		refuseUnsupported(w)
		return
	}
	// An answer may begin before the whole request has come. HTTP/2 always allows it.
	_ = http.NewResponseController(w).EnableFullDuplex()
	request, call := h.decode(r)
	result := h.dispatcher.Dispatch(r.Context(), request, call, &answerWriter{response: w, id: request.ID()})
	if !result.Started() {
		writeRefusal(w, request.ID(), result)
		return
	}
	if !result.Whole() {
		// A cut connection tells the caller that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
}
