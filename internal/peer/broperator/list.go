package broperator

import (
	"encoding/json"
	"net/http"

	"github.com/kataras/iris/v12"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

type listReply struct {
	Generation uint64            `json:"generation"`
	Resources  []json.RawMessage `json:"resources"`
}

func (h *Handler) list(ctx iris.Context) {
	snapshot, err := h.administration.Snapshot(ctx.Request().Context())
	if err != nil {
		fail(ctx, http.StatusServiceUnavailable, err)
		return
	}
	reply := listReply{Generation: snapshot.Generation(), Resources: []json.RawMessage{}}
	for resource := range snapshot.All(brconfig.Kind(ctx.Params().Get("kind"))) {
		data, err := brdocument.EncodeResource(resource)
		if err != nil {
			fail(ctx, http.StatusInternalServerError, err)
			return
		}
		reply.Resources = append(reply.Resources, data)
	}
	_ = ctx.JSON(reply)
}
