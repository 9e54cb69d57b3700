// Package brfair decides which waiting request goes next, so that no
// organisation's excess delays or displaces another's requests.
//
// A Queue is bounded in length and each of its items in time. The order among
// organisations is a policy, a type parameter: Weighted serves them in turn by
// weight (deficit round robin, every item costs one); Arrival serves in order
// of arrival and is the baseline that Weighted is measured against.
//
// An item that finds the queue full displaces the newest item of the
// organisation that waits with the most items for its weight. Where that is
// the item's own organisation, the item itself is refused. So an organisation
// within its share is displaced by nobody.
//
// # Usage
//
//	queue := brfair.New[Request, brfair.Weighted](256)
//	displaced, err := queue.Push(brfair.NewItem("taller-norte", 1, giveUp, request))
//	for _, item := range queue.Expire(now) {
//		// refuse: it waited too long
//	}
//	if item, ok := queue.Pop().Get(); ok {
//		// run it
//	}
package brfair

import (
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/broption"
)

// Policy orders the organisations that have items waiting.
type Policy interface {
	// Rounds reports whether organisations are served in turn by weight;
	// otherwise items are served in order of arrival.
	Rounds() bool
}

// Weighted serves organisations in turn, each as many items as its weight.
type Weighted struct{}

// Rounds is true.
func (Weighted) Rounds() bool { return true }

// Arrival serves items in order of arrival.
type Arrival struct{}

// Rounds is false.
func (Arrival) Rounds() bool { return false }

// Item waits in a queue. It is immutable.
type Item[T any] struct {
	organisation string
	weight       int
	giveUp       time.Time
	value        T
}

// NewItem returns an item of an organisation with its weight, which counts as
// at least one, and the time at which it has waited too long.
func NewItem[T any](organisation string, weight int, giveUp time.Time, value T) Item[T] {
	return Item[T]{organisation: organisation, weight: max(weight, 1), giveUp: giveUp, value: value}
}

// Organisation returns the name of the organisation.
func (i Item[T]) Organisation() string { return i.organisation }

// GiveUp returns the time at which the item has waited too long.
func (i Item[T]) GiveUp() time.Time { return i.giveUp }

// Value returns what waits.
func (i Item[T]) Value() T { return i.value }

// flow holds the waiting items of one organisation.
type flow[T any] struct {
	organisation string
	weight       int
	credit       int // items that may still be served in this round
	items        []Item[T]
}

// Queue is a bounded fair queue. It has one owner.
type Queue[T any, P Policy] struct {
	capacity int
	length   int
	policy   P
	flows    map[string]*flow[T]
	turn     []*flow[T] // flows with items, in order of service
}

// New returns an empty queue for capacity items.
func New[T any, P Policy](capacity int) *Queue[T, P] {
	return &Queue[T, P]{capacity: max(capacity, 1), flows: map[string]*flow[T]{}}
}

// Len returns the number of items that wait.
func (q *Queue[T, P]) Len() int { return q.length }

// Push puts an item into the queue. Where the queue is full it returns the item
// that was displaced, or ErrFull if that would be the new one.
func (q *Queue[T, P]) Push(item Item[T]) (broption.Option[Item[T]], error) {
	if q.length < q.capacity {
		q.add(item)
		return broption.None[Item[T]](), nil
	}
	heaviest, ok := q.heavierThan(item).Get()
	if !ok {
		return broption.None[Item[T]](), ErrFull{capacity: q.capacity}
	}
	displaced := q.removeNewest(heaviest)
	q.add(item)
	return broption.Some(displaced), nil
}

// Pop takes the item that goes next.
func (q *Queue[T, P]) Pop() broption.Option[Item[T]] {
	if q.length == 0 {
		return broption.None[Item[T]]()
	}
	f := q.turn[0]
	if f.credit == 0 {
		f.credit = f.weight
	}
	item := f.items[0]
	f.items[0] = Item[T]{} // let go of what was taken
	f.items = f.items[1:]
	f.credit--
	q.length--
	if len(f.items) == 0 {
		q.retire(f)
	} else if f.credit == 0 {
		q.turn = append(q.turn[1:], f)
	}
	return broption.Some(item)
}

// Expire removes and returns the items that have waited too long.
func (q *Queue[T, P]) Expire(now time.Time) []Item[T] {
	return q.removeIf(func(i Item[T]) bool { return !i.giveUp.IsZero() && !now.Before(i.giveUp) })
}

// Remove removes the items whose value matches.
func (q *Queue[T, P]) Remove(matches func(value T) bool) {
	q.removeIf(func(i Item[T]) bool { return matches(i.value) })
}

func (q *Queue[T, P]) removeIf(leaves func(item Item[T]) bool) []Item[T] {
	removed := []Item[T]{}
	for _, f := range slices.Clone(q.turn) {
		f.items = slices.DeleteFunc(f.items, func(i Item[T]) bool {
			if !leaves(i) {
				return false
			}
			removed = append(removed, i)
			return true
		})
		if len(f.items) == 0 {
			q.retire(f)
		}
	}
	q.length -= len(removed)
	return removed
}

// keyOf returns the flow that an item belongs to. Without rounds all items share one.
func (q *Queue[T, P]) keyOf(item Item[T]) string {
	if q.policy.Rounds() {
		return item.organisation
	}
	return ""
}

func (q *Queue[T, P]) add(item Item[T]) {
	key := q.keyOf(item)
	f, ok := q.flows[key]
	if !ok {
		f = &flow[T]{organisation: key}
		q.flows[key] = f
		q.turn = append(q.turn, f)
	}
	f.weight = item.weight
	f.items = append(f.items, item)
	q.length++
}

// heavierThan returns the flow that waits with the most items for its weight,
// if it waits with more than the new item's flow would.
func (q *Queue[T, P]) heavierThan(item Item[T]) broption.Option[*flow[T]] {
	own := q.flows[q.keyOf(item)]
	most, weight := 1, item.weight
	if own != nil {
		most += len(own.items)
	}
	heaviest := broption.None[*flow[T]]()
	for _, f := range q.turn {
		if f != own && len(f.items)*weight > most*f.weight {
			heaviest = broption.Some(f)
			most, weight = len(f.items), f.weight
		}
	}
	return heaviest
}

func (q *Queue[T, P]) removeNewest(f *flow[T]) Item[T] {
	last := len(f.items) - 1
	item := f.items[last]
	f.items = slices.Delete(f.items, last, last+1)
	q.length--
	if len(f.items) == 0 {
		q.retire(f)
	}
	return item
}

// retire forgets a flow without items, so that memory is bounded by what waits.
func (q *Queue[T, P]) retire(f *flow[T]) {
	delete(q.flows, f.organisation)
	q.turn = slices.DeleteFunc(q.turn, func(other *flow[T]) bool { return other == f })
}
