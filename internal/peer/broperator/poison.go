package broperator

import (
	"context"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Refusal is a temporary refusal of one request.
type Refusal interface {
	// Fingerprint returns the fingerprint of the request.
	Fingerprint() brrequest.Fingerprint
	// Until returns the time at which the refusal ends.
	Until() time.Time
}

// PoisonList holds the requests that are refused because they crash servers.
type PoisonList[R Refusal] interface {
	// Refusals returns the current refusals.
	Refusals(ctx context.Context) ([]R, error)
	// Lift ends a refusal on all VMs and reports whether it existed on this VM.
	Lift(ctx context.Context, fingerprint brrequest.Fingerprint) (bool, error)
}

type refusalsReply struct {
	Refusals []refusalReply `json:"refusals"`
}

type refusalReply struct {
	Fingerprint string    `json:"fingerprint"`
	Until       time.Time `json:"until"`
}

// RegisterPoisonRoutes adds the routes that list and lift refusals. It must be called
// before the handler serves requests.
func RegisterPoisonRoutes[R Refusal](h *Handler, list PoisonList[R]) error {
	h.register(route{
		method: http.MethodGet, path: "/v1/poison", summary: "List the requests that are refused because they crash servers",
		handle: func(ctx iris.Context) error { return listPoison(ctx, list) },
	})
	h.register(route{
		method: http.MethodDelete, path: "/v1/poison/{fingerprint}", summary: "Lift a refusal on all VMs",
		handle: func(ctx iris.Context) error { return liftPoison(ctx, list) },
	})
	return h.app.RefreshRouter()
}

func listPoison[R Refusal](ctx iris.Context, list PoisonList[R]) error {
	refusals, err := list.Refusals(ctx.Request().Context())
	if err != nil {
		return unavailable(err)
	}
	reply := refusalsReply{Refusals: []refusalReply{}}
	for _, r := range refusals {
		reply.Refusals = append(reply.Refusals, refusalReply{Fingerprint: r.Fingerprint().String(), Until: r.Until()})
	}
	return ctx.JSON(reply)
}

func liftPoison[R Refusal](ctx iris.Context, list PoisonList[R]) error {
	if !requestPrincipal(ctx).CanOperate() {
		return ErrRequest{status: http.StatusForbidden, reason: "only editors and administrators of the platform may lift a refusal"}
	}
	fingerprint, err := brrequest.ParseFingerprint(ctx.Params().Get("fingerprint"))
	if err != nil {
		return badRequest(err.Error())
	}
	lifted, err := list.Lift(ctx.Request().Context(), fingerprint)
	if err != nil {
		return unavailable(err)
	}
	if !lifted {
		return ErrRequest{status: http.StatusNotFound, reason: "this VM has no refusal for fingerprint " + fingerprint.String()}
	}
	ctx.StatusCode(http.StatusNoContent)
	return nil
}
