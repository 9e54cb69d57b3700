package broperator

import (
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	"github.com/kataras/iris/v12"

	"bergamotroad.example/bergamotroad/internal/model/brprincipal"
)

// route is one entry of the administration API.
type route struct {
	method     string
	path       string // in the form of OpenAPI
	summary    string
	parameters []parameter
	body       string // what the body holds, or ""
	changes    bool
	handle     func(iris.Context) error
}

type parameter struct {
	name    string
	summary string
}

// standardRoutes are the routes that every front end has.
func (h *Handler) standardRoutes() []route {
	from := parameter{"from", "an old generation to apply again, with an empty body; keys, tokens and moves stay as they are"}
	past := parameter{"generation", "an old generation to read"}
	return []route{
		{method: http.MethodPost, path: "/v1/apply", summary: "Put resources, all in one change or none", parameters: []parameter{from}, body: "a resource or an array of resources", changes: true, handle: h.apply},
		{method: http.MethodPost, path: "/v1/plan", summary: "Tell what apply would alter, and change nothing", parameters: []parameter{from}, body: "a resource or an array of resources", handle: h.plan},
		{method: http.MethodGet, path: "/v1/resources/{kind}", summary: "List the resources of a kind", parameters: []parameter{{"label", "name=value, or a name that must be there; may be repeated"}, past}, handle: h.list},
		{method: http.MethodGet, path: "/v1/resources/{kind}/{name}", summary: "Read a resource", parameters: []parameter{past}, handle: h.get},
		{method: http.MethodDelete, path: "/v1/resources/{kind}/{name}", summary: "Delete a resource that nothing refers to", changes: true, handle: h.delete},
		{method: http.MethodPatch, path: "/v1/resources/{kind}/{name}/labels", summary: "Set and remove labels of a resource", body: "an object with set, values by name, and remove, an array of names", changes: true, handle: h.label},
		{method: http.MethodGet, path: "/v1/history", summary: "List accepted changes, newest first", parameters: []parameter{{"before", "a generation to start before"}, {"limit", "how many"}}, handle: h.history},
		{method: http.MethodGet, path: "/v1/operations/{id}", summary: "Tell what became of an operation; where it does not exist, the generation tells up to where that is final", handle: h.operation},
		{method: http.MethodGet, path: "/v1/status", summary: "Tell VM, generation and number of resources", handle: h.status},
		{method: http.MethodGet, path: "/v1/events", summary: "Read the time line of the VM, or with fleet=true of all VMs", parameters: eventParameters, handle: h.anyEvents},
	}
}

// register adds a route to the front end and its description.
func (h *Handler) register(r route) {
	h.routes = append(h.routes, r)
	h.app.Handle(r.method, r.path, func(ctx iris.Context) {
		principal, err := h.administration.Identify(ctx.Request().Context(), bearerOf(ctx))
		if err != nil {
			fail(ctx, err)
			return
		}
		ctx.Values().Set(principalValue, principal)
		if err := r.handle(ctx); err != nil {
			fail(ctx, errors.Errorf("%s: %w", strings.ToLower(r.summary), err))
		}
	})
}

const principalValue = "bergamotroad.principal"

func principalOf(ctx iris.Context) brprincipal.Principal {
	principal, _ := ctx.Values().Get(principalValue).(brprincipal.Principal)
	return principal
}

func bearerOf(ctx iris.Context) string {
	scheme, token, _ := strings.Cut(ctx.GetHeader("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return token
}
