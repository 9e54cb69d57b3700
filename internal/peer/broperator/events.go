package broperator

import (
	"time"

	"github.com/kataras/iris/v12"

	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

const (
	defaultEventLimit = 100
	maxEventLimit     = 10_000
)

type eventsReply struct {
	Events   []eventReply `json:"events"`
	Position uint64       `json:"position"`
}

type eventReply struct {
	Kind         string            `json:"kind"`
	Time         time.Time         `json:"time"`
	Logical      uint32            `json:"logical"`
	VM           string            `json:"vm"`
	Domain       string            `json:"domain"`
	Organisation string            `json:"organisation,omitempty"`
	Request      string            `json:"request,omitempty"`
	Move         string            `json:"move,omitempty"`
	Resource     string            `json:"resource,omitempty"`
	Details      map[string]string `json:"details,omitempty"`
}

func (h *Handler) eventsByPosition(ctx iris.Context) error {
	after := uint64(max(ctx.URLParamInt64Default("after", 0), 0))
	page, err := h.timeline.Read(ctx.Request().Context(), after, eventLimit(ctx))
	if err != nil {
		return unavailable(err)
	}
	return ctx.JSON(eventsReply{Events: newEventReplies(page.Events()), Position: page.Position()})
}

func eventLimit(ctx iris.Context) int {
	return min(max(ctx.URLParamIntDefault("limit", defaultEventLimit), 0), maxEventLimit)
}

func newEventReplies(events []brevent.Event) []eventReply {
	replies := make([]eventReply, 0, len(events))
	for _, e := range events {
		replies = append(replies, newEventReply(e))
	}
	return replies
}

func newEventReply(e brevent.Event) eventReply {
	reply := eventReply{
		Kind:         string(e.Kind()),
		Time:         e.Timestamp().Wall(),
		Logical:      e.Timestamp().Logical(),
		VM:           e.VM(),
		Domain:       e.Domain(),
		Organisation: e.Organisation(),
		Request:      e.Request(),
		Move:         e.Move(),
		Resource:     e.Resource(),
	}
	for name, value := range e.Details().All() {
		if reply.Details == nil {
			reply.Details = map[string]string{}
		}
		reply.Details[name] = value
	}
	return reply
}
