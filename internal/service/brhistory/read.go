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
	result := vmEvents{vm: s.vm, position: query.cursor[s.vm]}
	size := pageSize
	if query.cursor != nil {
		size = min(size, limit)
	}
	for range maxPages {
		page, err := s.read(ctx, result.position, size)
		if err != nil {
			result.err = err
			return result
		}
		for _, e := range page.Events() {
			if query.filter.Matches(e) {
				result.events = append(result.events, e)
			}
		}
		result.position = page.Position()
		if query.cursor == nil && len(result.events) > limit {
			result.events = append([]brevent.Event{}, result.events[len(result.events)-limit:]...)
		}
		if len(page.Events()) < size || (query.cursor != nil && len(result.events)+size > limit) {
			return result
		}
	}
	return result
}
