package brhistory

import (
	"context"

	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

const (
	pageSize = 1000 // events per page
	maxPages = 64   // pages of one VM per query
)

// vmEvents holds the events of one VM.
type vmEvents struct {
	vm       string
	events   []brevent.Event
	position uint64
	err      error
}

// readVM reads the timeline of a VM page by page. With a cursor, it stops at the
// limit, and the next query continues there; without one, it keeps the newest events.
func readVM(ctx context.Context, s source, query Query, limit int) vmEvents {
	p := vmEvents{vm: s.vm, position: query.cursor[s.vm]}
	size := pageSize
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
