// Package broperator is the front end for operators: the administration API,
// metrics and health.
//
// # Usage
//
//	front, err := broperator.NewHandler(administration, timeline, registry, readiness)
//	server := &http.Server{Handler: front}
package broperator

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/kataras/iris/v12"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bergamotroad.example/bergamotroad/internal/duty/brtimeline"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// Administration changes and reads the configuration.
type Administration interface {
	// Apply makes one change of all the given ones and returns its generation.
	Apply(ctx context.Context, author string, changes []brconfig.Change) (uint64, error)
	// Ready returns why the VM can't serve callers yet, or nil.
	Ready(ctx context.Context) error
	// Snapshot returns the configuration that this VM holds.
	Snapshot(ctx context.Context) (*brconfig.Snapshot, error)
}

// Timeline reads events.
type Timeline interface {
	// Read returns up to limit events after a position.
	Read(ctx context.Context, after uint64, limit int) (brtimeline.Page, error)
}

// Handler is the operators' front end. It is an http.Handler.
type Handler struct {
	administration Administration
	timeline       Timeline
	app            *iris.Application
}

// NewHandler returns the front end.
func NewHandler(administration Administration, timeline Timeline, metrics prometheus.Gatherer) (*Handler, error) {
	h := &Handler{administration: administration, timeline: timeline, app: iris.New()}
	h.app.Logger().SetLevel("disable")
	h.app.Get("/healthz", func(ctx iris.Context) { _, _ = ctx.WriteString("ok\n") })
	h.app.Get("/readyz", h.readiness)
	h.app.Get("/metrics", iris.FromStd(promhttp.HandlerFor(metrics, promhttp.HandlerOpts{})))
	h.app.Post("/v1/apply", h.apply)
	h.app.Get("/v1/resources/{kind}", h.list)
	h.app.Get("/v1/events", h.events)
	if err := h.app.Build(); err != nil {
		return nil, errors.Errorf("build operators' routes: %w", err)
	}
	return h, nil
}

// ServeHTTP answers an operator.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.app.ServeHTTP(w, r)
}

// readiness answers 200 once a configuration is in force.
func (h *Handler) readiness(ctx iris.Context) {
	if err := h.administration.Ready(ctx.Request().Context()); err != nil {
		ctx.StatusCode(http.StatusServiceUnavailable)
		_, _ = ctx.WriteString(err.Error() + "\n")
		return
	}
	_, _ = ctx.WriteString("ready\n")
}

type errorReply struct {
	Error string `json:"error"`
}

func fail(ctx iris.Context, status int, err error) {
	ctx.StatusCode(status)
	_ = ctx.JSON(errorReply{Error: err.Error()})
}
