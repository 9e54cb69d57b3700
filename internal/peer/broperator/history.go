package broperator

import (
	"context"

	"github.com/kataras/iris/v12"

	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/service/brhistory"
)

// History reads the time lines of all VMs.
type History interface {
	// Read returns the events that a query asks for, by stamp.
	Read(ctx context.Context, query brhistory.Query) (brhistory.Page, error)
}

// ServeHistory lets operators filter events and read those of all VMs. It is
// called before the front end serves.
func ServeHistory(h *Handler, history History) {
	h.merged = history
}

// eventParameters choose events. Each of the named ones needs the history.
var eventParameters = []parameter{
	{"after", "a position to start after"},
	{"limit", "how many"},
	{"organisation", "only events of an organisation"},
	{"request", "only events of a request"},
	{"move", "only events of a move"},
	{"vm", "only events of a VM"},
	{"kind", "only events of a kind"},
	{"fleet", "true for the events of all VMs"},
	{"cursor", "how far each VM has been read, from an earlier answer"},
}

type historyEventsReply struct {
	Events  []eventReply `json:"events"`
	Cursor  string       `json:"cursor"`
	Missing []string     `json:"missing,omitempty"`
}

// anyEvents answers by position, or where a filter, a cursor or the fleet is
// asked for, by stamp.
func (h *Handler) anyEvents(ctx iris.Context) error {
	filter := filterOf(ctx)
	fleet := ctx.URLParam("fleet") == "true"
	cursor := ctx.URLParam("cursor")
	if h.merged == nil || (filter.IsEmpty() && !fleet && cursor == "") {
		return h.events(ctx)
	}
	query := brhistory.NewQuery(filter, limitOf(ctx))
	if fleet {
		query = query.OfFleet()
	}
	if cursor != "" {
		parsed, err := brhistory.ParseCursor(cursor)
		if err != nil {
			return badRequest(err.Error())
		}
		query = query.After(parsed)
	}
	page, err := h.merged.Read(ctx.Request().Context(), query)
	if err != nil {
		return unavailable(err)
	}
	return ctx.JSON(historyEventsReply{Events: eventRepliesOf(page.Events()), Cursor: page.Cursor().String(), Missing: page.Missing()})
}

func filterOf(ctx iris.Context) brevent.Filter {
	return brevent.Filter{}.
		WithOrganisation(ctx.URLParam("organisation")).
		WithRequest(ctx.URLParam("request")).
		WithMove(ctx.URLParam("move")).
		WithVM(ctx.URLParam("vm")).
		WithKind(brevent.Kind(ctx.URLParam("kind")))
}
