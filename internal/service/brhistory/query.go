package brhistory

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

// maxCursorVMs is the maximum number of VMs in a cursor.
const maxCursorVMs = 10_000

// Cursor is the position up to which each VM has been read.
type Cursor map[string]uint64

// ParseCursor parses a cursor in the form that String returns.
func ParseCursor(text string) (Cursor, error) {
	cursor := Cursor{}
	for pair := range strings.SplitSeq(text, ",") {
		vm, position, ok := strings.Cut(pair, ":")
		if !ok || vm == "" || len(cursor) >= maxCursorVMs {
			return nil, errors.Errorf("cursor has too many VMs, or no VM and position in %q", pair)
		}
		number, err := strconv.ParseUint(position, 10, 64)
		if err != nil {
			return nil, errors.Errorf("position of VM %q: %w", vm, err)
		}
		cursor[vm] = number
	}
	return cursor, nil
}

// String returns the cursor as text: VM:POSITION, separated by commas.
func (c Cursor) String() string {
	pairs := make([]string, 0, len(c))
	for _, vm := range slices.Sorted(maps.Keys(c)) {
		pairs = append(pairs, fmt.Sprintf("%s:%d", vm, c[vm]))
	}
	return strings.Join(pairs, ",")
}

// Query selects events.
type Query struct {
	filter brevent.Filter
	limit  int
	allVMs bool
	cursor Cursor
}

// NewQuery returns a query for the newest events of this VM that match a filter, at
// most limit of them.
func NewQuery(filter brevent.Filter, limit int) Query {
	return Query{filter: filter, limit: max(limit, 1)}
}

// OfAllVMs returns the query for the events of all VMs.
func (q Query) OfAllVMs() Query {
	q.allVMs = true
	return q
}

// After returns the query for the events after a cursor, at most limit of each VM.
func (q Query) After(cursor Cursor) Query {
	q.cursor = cursor
	return q
}

func (q Query) includes(vm string) bool {
	return q.filter.VM() == "" || q.filter.VM() == vm
}

// Page is a part of the merged timeline.
type Page struct {
	events  []brevent.Event
	cursor  Cursor
	missing []string
}

// Events returns the events in the order of their timestamps. The caller must not
// change the slice.
func (p Page) Events() []brevent.Event { return p.events }

// Cursor returns the cursor from which the next query continues. The caller must not
// change it.
func (p Page) Cursor() Cursor { return p.cursor }

// Missing returns the VMs whose events could not be read to the end.
func (p Page) Missing() []string { return p.missing }
