// Package broperator is the HTTP front end for operators: the administration
// API, its OpenAPI description, the Prometheus metrics, and the health and
// readiness checks.
//
// Handlers decode a request, call a service and encode its result. Each route of
// the API identifies the operator by the bearer token first.
//
// # Usage
//
//	handler, err := broperator.NewHandler("vm-1", administration, timeline, registry)
//	broperator.SetEventHistory(handler, history)
//	server := &http.Server{Handler: handler}
package broperator

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/kataras/iris/v12"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/duty/brtimeline"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brprincipal"
	"bergamotroad.example/bergamotroad/internal/service/bradministration"
)

// Administration reads and changes the configuration.
type Administration interface {
	// Identify returns the operator that a token belongs to. The token is "" if
	// the request has none.
	Identify(ctx context.Context, token string) (brprincipal.Principal, error)
	// Apply carries out an operation as one change, at most once.
	Apply(ctx context.Context, operation bradministration.Operation) (bradministration.Outcome, error)
	// Plan returns the changes that an operation would make.
	Plan(ctx context.Context, operation bradministration.Operation) (bradministration.Plan, error)
	// Ready returns nil if the VM can serve callers, or the reason why not.
	Ready(ctx context.Context) error
	// Snapshot returns the current configuration of this VM.
	Snapshot(ctx context.Context) (*brconfig.Snapshot, error)
	// SnapshotAt returns the configuration at an earlier generation.
	SnapshotAt(ctx context.Context, generation uint64) (*brconfig.Snapshot, error)
	// History returns up to limit accepted changes before a generation, newest
	// first.
	History(ctx context.Context, before uint64, limit int) ([]brdocument.Entry, error)
	// Operation returns the history entry of an accepted operation.
	Operation(ctx context.Context, id string) (brdocument.Entry, error)
}

// Timeline reads the events of this VM.
type Timeline interface {
	// Read returns up to limit events after a position.
	Read(ctx context.Context, after uint64, limit int) (brtimeline.Page, error)
}

// Handler is the front end for operators. It implements http.Handler.
type Handler struct {
	vm             string
	administration Administration
	timeline       Timeline
	eventHistory   EventHistory
	app            *iris.Application
	routes         []route
}

// NewHandler returns the front end of the named VM.
func NewHandler(vm string, administration Administration, timeline Timeline, metrics prometheus.Gatherer) (*Handler, error) {
	h := &Handler{vm: vm, administration: administration, timeline: timeline, app: iris.New()}
	h.app.Logger().SetLevel("disable")
	h.app.Get("/healthz", func(ctx iris.Context) { _, _ = ctx.WriteString("ok\n") })
	h.app.Get("/readyz", h.readiness)
	h.app.Get("/metrics", iris.FromStd(promhttp.HandlerFor(metrics, promhttp.HandlerOpts{})))
	h.app.Get(openAPIPath, h.openAPI)
	for _, r := range h.coreRoutes() {
		h.register(r)
	}
	if err := h.app.Build(); err != nil {
		return nil, errors.Errorf("build operator routes: %w", err)
	}
	return h, nil
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.app.ServeHTTP(w, r)
}

// readiness answers 200 once the VM can serve callers, and 503 with the reason
// until then.
func (h *Handler) readiness(ctx iris.Context) {
	if err := h.administration.Ready(ctx.Request().Context()); err != nil {
		ctx.StatusCode(http.StatusServiceUnavailable)
		_, _ = ctx.WriteString(err.Error() + "\n")
		return
	}
	_, _ = ctx.WriteString("ready\n")
}
