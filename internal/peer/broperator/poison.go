package broperator

import (
	"context"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Refusal is a request that is refused until a time.
type Refusal interface {
	// Fingerprint returns the fingerprint of the request.
	Fingerprint() brrequest.Fingerprint
	// Until returns the end of the refusal.
	Until() time.Time
}

// Poisoning knows the requests that are refused because servers die of them.
type Poisoning[R Refusal] interface {
	// Refusals returns the requests that are refused.
	Refusals(ctx context.Context) ([]R, error)
	// Lift ends a refusal on all VMs and reports whether this VM had it.
	Lift(ctx context.Context, fingerprint brrequest.Fingerprint) (bool, error)
}

type refusalsReply struct {
	Refusals []refusalReply `json:"refusals"`
}

type refusalReply struct {
	Fingerprint string    `json:"fingerprint"`
	Until       time.Time `json:"until"`
}

// ServePoison adds the routes by which operators list and lift refusals. It is
// called before the front end serves.
func ServePoison[R Refusal](h *Handler, poisoning Poisoning[R]) error {
	h.app.Get("/v1/poison", func(ctx iris.Context) { listPoison(ctx, poisoning) })
	h.app.Delete("/v1/poison/{fingerprint}", func(ctx iris.Context) { liftPoison(ctx, poisoning) })
	return h.app.RefreshRouter()
}

func listPoison[R Refusal](ctx iris.Context, poisoning Poisoning[R]) {
	refusals, err := poisoning.Refusals(ctx.Request().Context())
	if err != nil {
		fail(ctx, http.StatusServiceUnavailable, err)
		return
	}
	reply := refusalsReply{Refusals: []refusalReply{}}
	for _, r := range refusals {
		reply.Refusals = append(reply.Refusals, refusalReply{Fingerprint: r.Fingerprint().String(), Until: r.Until()})
	}
	_ = ctx.JSON(reply)
}

func liftPoison[R Refusal](ctx iris.Context, poisoning Poisoning[R]) {
	fingerprint, err := brrequest.ParseFingerprint(ctx.Params().Get("fingerprint"))
	if err != nil {
		fail(ctx, http.StatusBadRequest, err)
		return
	}
	lifted, err := poisoning.Lift(ctx.Request().Context(), fingerprint)
	if err != nil {
		fail(ctx, http.StatusServiceUnavailable, err)
		return
	}
	if !lifted {
		ctx.StatusCode(http.StatusNotFound)
		return
	}
	ctx.StatusCode(http.StatusNoContent)
}
