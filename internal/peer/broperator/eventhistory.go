package broperator

import (
	"context"

	"github.com/kataras/iris/v12"

	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/service/brhistory"
)

// EventHistory reads the event timelines of all VMs.
type EventHistory interface {
	// Read returns the events that match a query, ordered by timestamp.
	Read(ctx context.Context, query brhistory.Query) (brhistory.Page, error)
}

// SetEventHistory enables event filters and reading the events of all VMs. It must
// be called before the handler serves requests.
func SetEventHistory(h *Handler, history EventHistory) {
	h.eventHistory = history
}

// eventParameters are the query parameters of /v1/events. All but after and
// limit need an EventHistory.
var eventParameters = []parameter{
	{"after", "only events after this position"},
	{"limit", "maximum number of events"},
	{"organisation", "only events of an organisation"},
	{"request", "only events of a request"},
	{"move", "only events of a move"},
	{"vm", "only events of a VM"},
	{"kind", "only events of a kind"},
	{"fleet", "true to read the events of all VMs"},
	{"cursor", "cursor of an earlier response, to continue after it"},
}

type eventHistoryReply struct {
	Events  []eventReply `json:"events"`
	Cursor  string       `json:"cursor"`
	Missing []string     `json:"missing,omitempty"`
}

// readEvents returns events by position or, if the request has a filter, a cursor
// or fleet=true, ordered by timestamp.
func (h *Handler) readEvents(ctx iris.Context) error {
	filter := eventFilter(ctx)
	fleet := ctx.URLParam("fleet") == "true"
	cursor := ctx.URLParam("cursor")
	if h.eventHistory == nil || (filter.IsEmpty() && !fleet && cursor == "") {
		return h.eventsByPosition(ctx)
	}
	query := brhistory.NewQuery(filter, eventLimit(ctx))
	if fleet {
		query = query.OfAllVMs()
	}
	if cursor != "" {
		parsed, err := brhistory.ParseCursor(cursor)
		if err != nil {
			return badRequest(err.Error())
		}
		query = query.After(parsed)
	}
	page, err := h.eventHistory.Read(ctx.Request().Context(), query)
	if err != nil {
		return unavailable(err)
	}
	return ctx.JSON(eventHistoryReply{Events: newEventReplies(page.Events()), Cursor: page.Cursor().String(), Missing: page.Missing()})
}

func eventFilter(ctx iris.Context) brevent.Filter {
	return brevent.Filter{}.
		WithOrganisation(ctx.URLParam("organisation")).
		WithRequest(ctx.URLParam("request")).
		WithMove(ctx.URLParam("move")).
		WithVM(ctx.URLParam("vm")).
		WithKind(brevent.Kind(ctx.URLParam("kind")))
}
