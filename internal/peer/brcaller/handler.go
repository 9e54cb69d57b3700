package brcaller

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/kataras/iris/v12"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/model/brlocation"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brduplex"
	"bergamotroad.example/bergamotroad/internal/service/brdispatch"
)

// wellKnownPrefix is the prefix of the system's own paths (RFC 8615).
const wellKnownPrefix = "/.well-known/bergamotroad/"

// Dispatcher forwards requests to backend servers.
type Dispatcher interface {
	// Dispatch forwards a request and writes the response to writer.
	Dispatch(ctx context.Context, request brrequest.Request, call brmessage.Call, writer brdispatch.Writer) brdispatch.Result
}

// Locator answers lookups.
type Locator interface {
	// Locate returns the VMs that a caller should use.
	Locate(ctx context.Context, client netip.Addr) (brlocation.Response, error)
}

// Handler is the front end for callers. It implements http.Handler.
type Handler struct {
	clock      brclock.Clock
	dispatcher Dispatcher
	locator    Locator
	ownRoutes  http.Handler
}

// NewHandler returns the front end for callers.
func NewHandler(clock brclock.Clock, dispatcher Dispatcher, locator Locator) (*Handler, error) {
	h := &Handler{clock: clock, dispatcher: dispatcher, locator: locator}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get(wellKnownPrefix+"lookup", h.lookup)
	if err := app.Build(); err != nil {
		return nil, errors.Errorf("build lookup routes: %w", err)
	}
	h.ownRoutes = app
	return h, nil
}

// ServeHTTP answers a lookup or dispatches a request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if len(r.URL.Path) >= len(wellKnownPrefix) && r.URL.Path[:len(wellKnownPrefix)] == wellKnownPrefix {
		h.ownRoutes.ServeHTTP(w, r)
		return
	}
	if isUnsupported(r) {
		refuseUnsupported(w)
		return
	}
	body := brduplex.NewBody(r)
	defer body.Finish(w)
	request, call := h.decode(r, body)
	result := h.dispatcher.Dispatch(r.Context(), request, call, &responseWriter{response: w, id: request.ID(), body: body})
	if !result.Started() {
		body.PrepareResponse(w)
		writeRefusal(w, request.ID(), result)
		return
	}
	if !result.IsComplete() {
		// Aborting the connection tells the caller that the response is truncated.
		panic(http.ErrAbortHandler)
	}
}
