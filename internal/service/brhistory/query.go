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

// maxCursorVMs bounds the VMs that a cursor names.
const maxCursorVMs = 10_000

// Cursor is the position up to which each VM has been read.
type Cursor map[string]uint64

// ParseCursor reads the text of a cursor.
func ParseCursor(text string) (Cursor, error) {
	cursor := Cursor{}
	for pair := range strings.SplitSeq(text, ",") {
		vm, position, ok := strings.Cut(pair, ":")
		if !ok || vm == "" || len(cursor) >= maxCursorVMs {
			return nil, errors.Errorf("cursor has no VM and position in %q", pair)
		}
		number, err := strconv.ParseUint(position, 10, 64)
		if err != nil {
			return nil, errors.Errorf("position of VM %q: %w", vm, err)
		}
		cursor[vm] = number
	}
	return cursor, nil
}

// String returns the text of the cursor.
func (c Cursor) String() string {
	pairs := make([]string, 0, len(c))
	for _, vm := range slices.Sorted(maps.Keys(c)) {
		pairs = append(pairs, fmt.Sprintf("%s:%d", vm, c[vm]))
	}
	return strings.Join(pairs, ",")
}

// Query asks for events.
type Query struct {
	filter brevent.Filter
	limit  int
	fleet  bool
	cursor Cursor
}

// NewQuery returns a query for the newest limit events of this VM that a filter chooses.
func NewQuery(filter brevent.Filter, limit int) Query {
	return Query{filter: filter, limit: max(limit, 1)}
}

// OfFleet returns the query for the events of all VMs.
func (q Query) OfFleet() Query {
	q.fleet = true
	return q
}

// After returns the query for events after a cursor, limit of each VM at most.
func (q Query) After(cursor Cursor) Query {
	q.cursor = cursor
	return q
}

func (q Query) about(vm string) bool {
	return q.filter.VM() == "" || q.filter.VM() == vm
}

// Page is a part of the merged time line.
type Page struct {
	events  []brevent.Event
	cursor  Cursor
	missing []string
}

// Events returns the events by stamp. The caller must not change the slice.
func (p Page) Events() []brevent.Event { return p.events }

// Cursor returns the cursor to read on from. The caller must not change it.
func (p Page) Cursor() Cursor { return p.cursor }

// Missing returns the VMs that gave no answer, or not all of it.
func (p Page) Missing() []string { return p.missing }
