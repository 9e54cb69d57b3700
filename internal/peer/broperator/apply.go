package broperator

import (
	"io"
	"net/http"

	"github.com/kataras/iris/v12"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/service/bradministration"
)

// maxApply bounds a change, in bytes.
const maxApply = 64 << 20

type applyReply struct {
	Generation uint64 `json:"generation"`
}

func (h *Handler) apply(ctx iris.Context) {
	body := http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxApply)
	data, err := io.ReadAll(body)
	if err != nil {
		fail(ctx, http.StatusRequestEntityTooLarge, err)
		return
	}
	resources, err := brdocument.DecodeResources(data)
	if err != nil {
		fail(ctx, http.StatusBadRequest, err)
		return
	}
	changes := make([]brconfig.Change, 0, len(resources))
	for _, r := range resources {
		changes = append(changes, brconfig.Put(r))
	}
	generation, err := h.administration.Apply(ctx.Request().Context(), "operator", changes)
	if err != nil {
		fail(ctx, statusOf(err), err)
		return
	}
	_ = ctx.JSON(applyReply{Generation: generation})
}

func statusOf(err error) int {
	switch {
	case bradministration.IsErrConflict(err):
		return http.StatusConflict
	case brconfig.IsErrDangling(err), brconfig.IsErrKindNotExist(err):
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}
