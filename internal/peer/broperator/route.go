package broperator

import (
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	"github.com/kataras/iris/v12"

	"bergamotroad.example/bergamotroad/internal/model/brprincipal"
)

// route is one endpoint of the administration API.
type route struct {
	method     string
	path       string // OpenAPI path template
	summary    string
	parameters []parameter
	body       string // description of the request body, or ""
	isChange   bool
	handle     func(iris.Context) error
}

type parameter struct {
	name    string
	summary string
}

// coreRoutes returns the routes that don't depend on optional services.
func (h *Handler) coreRoutes() []route {
	from := parameter{"from", "an earlier generation to restore, with an empty body; keys, tokens and moves are not changed"}
	generation := parameter{"generation", "an earlier generation to read"}
	return []route{
		{method: http.MethodPost, path: "/v1/apply", summary: "Create or update resources, atomically", parameters: []parameter{from}, body: "a resource or an array of resources", isChange: true, handle: h.apply},
		{method: http.MethodPost, path: "/v1/plan", summary: "Return what apply would change, without changing anything", parameters: []parameter{from}, body: "a resource or an array of resources", handle: h.plan},
		{method: http.MethodGet, path: "/v1/resources/{kind}", summary: "List the resources of a kind", parameters: []parameter{{"label", "name=value, or the name of a label that must exist; may be repeated"}, generation}, handle: h.list},
		{method: http.MethodGet, path: "/v1/resources/{kind}/{name}", summary: "Read a resource", parameters: []parameter{generation}, handle: h.get},
		{method: http.MethodDelete, path: "/v1/resources/{kind}/{name}", summary: "Delete a resource that no other resource refers to", isChange: true, handle: h.delete},
		{method: http.MethodPatch, path: "/v1/resources/{kind}/{name}/labels", summary: "Set and remove labels of a resource", body: "an object with set, a map of label values by name, and remove, an array of label names", isChange: true, handle: h.label},
		{method: http.MethodGet, path: "/v1/history", summary: "List accepted changes, newest first", parameters: []parameter{{"before", "only changes before this generation"}, {"limit", "maximum number of changes"}}, handle: h.history},
		{method: http.MethodGet, path: "/v1/operations/{id}", summary: "Return the outcome of an operation; if it does not exist, the error gives the generation up to which that is final", handle: h.operation},
		{method: http.MethodGet, path: "/v1/status", summary: "Return the VM name, the generation and the number of resources by kind", handle: h.status},
		{method: http.MethodGet, path: "/v1/events", summary: "Read the event timeline of the VM, or with fleet=true of all VMs", parameters: eventParameters, handle: h.readEvents},
	}
}

// register adds a route to the router and to the OpenAPI document.
func (h *Handler) register(r route) {
	h.routes = append(h.routes, r)
	h.app.Handle(r.method, r.path, func(ctx iris.Context) {
		principal, err := h.administration.Identify(ctx.Request().Context(), bearerToken(ctx))
		if err != nil {
			writeError(ctx, err)
			return
		}
		ctx.Values().Set(principalKey, principal)
		if err := r.handle(ctx); err != nil {
			writeError(ctx, errors.Errorf("%s: %w", strings.ToLower(r.summary), err))
		}
	})
}

const principalKey = "bergamotroad.principal"

func requestPrincipal(ctx iris.Context) brprincipal.Principal {
	principal, _ := ctx.Values().Get(principalKey).(brprincipal.Principal)
	return principal
}

func bearerToken(ctx iris.Context) string {
	scheme, token, _ := strings.Cut(ctx.GetHeader("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return token
}
