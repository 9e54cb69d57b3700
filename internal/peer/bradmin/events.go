package bradmin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// EventQuery is a set of conditions on events.
type EventQuery struct {
	values url.Values
}

// NewEventQuery returns a query for up to limit events of all VMs. Without a
// cursor it returns the newest.
func NewEventQuery(limit int) EventQuery {
	return EventQuery{values: url.Values{"fleet": {"true"}, "limit": {strconv.Itoa(limit)}}}
}

// WithCondition returns the query with one more condition. The name is organisation,
// request, move, vm, kind or cursor. An empty value adds no condition.
func (q EventQuery) WithCondition(name, value string) EventQuery {
	if value == "" {
		return q
	}
	values := url.Values{name: {value}}
	for key, existing := range q.values {
		if key != name {
			values[key] = existing
		}
	}
	return EventQuery{values: values}
}

type eventsReply struct {
	Events  []eventReply `json:"events"`
	Cursor  string       `json:"cursor"`
	Missing []string     `json:"missing"`
}

type eventReply struct {
	Kind         string            `json:"kind"`
	Time         time.Time         `json:"time"`
	VM           string            `json:"vm"`
	Organisation string            `json:"organisation"`
	Request      string            `json:"request"`
	Move         string            `json:"move"`
	Resource     string            `json:"resource"`
	Details      map[string]string `json:"details"`
}

// Event is one event of a timeline.
type Event struct {
	reply eventReply
}

// Kind returns the kind of the event.
func (e Event) Kind() string { return e.reply.Kind }

// Time returns the time of the event.
func (e Event) Time() time.Time { return e.reply.Time }

// VM returns the name of the VM that recorded the event.
func (e Event) VM() string { return e.reply.VM }

// Organisation returns the organisation that the event belongs to, or "".
func (e Event) Organisation() string { return e.reply.Organisation }

// Request returns the identifier of the request, or "".
func (e Event) Request() string { return e.reply.Request }

// Move returns the name of the move, or "".
func (e Event) Move() string { return e.reply.Move }

// Resource returns the resource that the event is about, or "".
func (e Event) Resource() string { return e.reply.Resource }

// Details returns additional attributes of the event. The caller must not change the map.
func (e Event) Details() map[string]string { return e.reply.Details }

// Events is one page of the events of all VMs.
type Events struct {
	raw     json.RawMessage
	events  []Event
	cursor  string
	missing []string
}

// Raw returns the unparsed response.
func (e Events) Raw() json.RawMessage { return e.raw }

// All returns the events, oldest first. The caller must not change the slice.
func (e Events) All() []Event { return e.events }

// Cursor returns the position at which the next query continues.
func (e Events) Cursor() string { return e.cursor }

// Missing returns the VMs that did not respond.
func (e Events) Missing() []string { return e.missing }

// Events reads the events that match a query.
func (c *Client) Events(ctx context.Context, query EventQuery) (Events, error) {
	var reply eventsReply
	raw, err := c.call(ctx, http.MethodGet, "/v1/events", query.values, ChangeOptions{}, nil, &reply)
	if err != nil {
		return Events{}, err
	}
	events := Events{raw: raw, cursor: reply.Cursor, missing: reply.Missing}
	for _, e := range reply.Events {
		events.events = append(events.events, Event{reply: e})
	}
	return events, nil
}
