package brhistory

import (
	"context"

	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

const (
	pageEvents = 1000 // events of a reading
	maxPages   = 64   // readings of a VM for one query
)

// part is what one VM told.
type part struct {
	vm       string
	events   []brevent.Event
	position uint64
	err      error
}

// readPart reads a VM page by page. After a cursor it stops at the limit and
// goes on there the next time; without one it keeps the newest events.
func readPart(ctx context.Context, s source, query Query, limit int) part {
	p := part{vm: s.vm, position: query.cursor[s.vm]}
	size := pageEvents
	if query.cursor != nil {
		size = min(size, limit)
	}
	for range maxPages {
		page, err := s.read(ctx, p.position, size)
		if err != nil {
			p.err = err
			return p
		}
		for _, e := range page.Events() {
			if query.filter.Matches(e) {
				p.events = append(p.events, e)
			}
		}
		p.position = page.Position()
		if query.cursor == nil && len(p.events) > limit {
			p.events = append([]brevent.Event{}, p.events[len(p.events)-limit:]...)
		}
		if len(page.Events()) < size || (query.cursor != nil && len(p.events)+size > limit) {
			return p
		}
	}
	return p
}
