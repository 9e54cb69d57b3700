package brcaller

import (
	"net/http"

	"github.com/kataras/iris/v12"

	"bergamotroad.example/bergamotroad/internal/model/brlocation"
)

type lookupReply struct {
	Block             string     `json:"block,omitempty"`
	TimeToLiveSeconds int        `json:"timeToLiveSeconds"`
	VMs               []lookupVM `json:"vms"`
}

type lookupVM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

func (h *Handler) lookup(ctx iris.Context) {
	response, err := h.locator.Locate(ctx.Request().Context(), clientAddress(ctx.Request()))
	if err != nil || len(response.VMs()) == 0 {
		ctx.StatusCode(http.StatusServiceUnavailable)
		return
	}
	_ = ctx.JSON(newLookupReply(response))
}

func newLookupReply(response brlocation.Response) lookupReply {
	reply := lookupReply{Block: response.Block(), TimeToLiveSeconds: int(response.TimeToLive().Seconds())}
	for _, v := range response.VMs() {
		reply.VMs = append(reply.VMs, lookupVM{Name: v.Name(), Address: v.CallerAddress()})
	}
	return reply
}
