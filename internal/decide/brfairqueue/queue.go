// Package brfairqueue provides a weighted fair queue for requests, in which the overload of
// one organisation neither delays nor displaces the requests of others.
//
// A Queue has a bounded length, and each item has a deadline. The order among
// organisations is a policy, given as a type parameter: Weighted serves them by
// weighted round robin (deficit round robin with a cost of one for each item);
// ArrivalOrder serves in order of arrival and is the baseline for comparison.
//
// An item that is pushed to a full queue displaces the newest item of the organisation
// with the most waiting items relative to its weight. If that is the item's own
// organisation, the item itself is refused. Items of an organisation within its share
// are therefore never displaced.
//
// # Usage
//
//	queue := brfairqueue.New[Request, brfairqueue.Weighted](256)
//	displaced, err := queue.Push(brfairqueue.NewItem("taller-norte", 1, deadline, request))
//	for _, item := range queue.Expire(now) {
//		// refuse: the deadline has passed
//	}
//	if item, ok := queue.Pop().Get(); ok {
//		// run it
//	}
package brfairqueue

import (
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/broption"
)

// Policy is the order in which waiting organisations are served.
type Policy interface {
	// RoundRobin reports whether organisations are served by weighted round robin.
	// Otherwise items are served in order of arrival.
	RoundRobin() bool
}

// Weighted serves organisations in rounds, each with as many items as its weight.
type Weighted struct{}

// RoundRobin returns true.
func (Weighted) RoundRobin() bool { return true }

// ArrivalOrder serves items in order of arrival.
type ArrivalOrder struct{}

// RoundRobin returns false.
func (ArrivalOrder) RoundRobin() bool { return false }

// Item is an entry of a queue. It is immutable.
type Item[T any] struct {
	organisation string
	weight       int
	deadline     time.Time
	value        T
}

// NewItem returns an item of an organisation with the given deadline and weight; a weight
// below 1 counts as 1. The zero time is no deadline.
func NewItem[T any](organisation string, weight int, deadline time.Time, value T) Item[T] {
	return Item[T]{organisation: organisation, weight: max(weight, 1), deadline: deadline, value: value}
}

// Organisation returns the name of the organisation that the item belongs to.
func (i Item[T]) Organisation() string { return i.organisation }

// Deadline returns the deadline of the item.
func (i Item[T]) Deadline() time.Time { return i.deadline }

// Value returns the queued value.
func (i Item[T]) Value() T { return i.value }

// flow holds the waiting items of one organisation.
type flow[T any] struct {
	organisation string
	weight       int
	credit       int // items that may still be served in this round
	items        []Item[T]
}

// Queue is a bounded fair queue. It is not safe for concurrent use.
type Queue[T any, P Policy] struct {
	capacity int
	length   int
	policy   P
	flows    map[string]*flow[T]
	active   []*flow[T] // flows with items, in order of service
}

// New returns an empty queue with the given capacity in items, at least 1.
func New[T any, P Policy](capacity int) *Queue[T, P] {
	return &Queue[T, P]{capacity: max(capacity, 1), flows: map[string]*flow[T]{}}
}

// Len returns the number of waiting items.
func (q *Queue[T, P]) Len() int { return q.length }

// Push adds an item to the queue. If the queue is full, it returns the item that was
// displaced, or ErrFull if the new one is refused.
func (q *Queue[T, P]) Push(item Item[T]) (broption.Option[Item[T]], error) {
	if q.length < q.capacity {
		q.add(item)
		return broption.None[Item[T]](), nil
	}
	heaviest, ok := q.heaviestFlow(item).Get()
	if !ok {
		return broption.None[Item[T]](), ErrFull{capacity: q.capacity}
	}
	displaced := q.removeNewest(heaviest)
	q.add(item)
	return broption.Some(displaced), nil
}

// Pop removes and returns the next item to serve.
func (q *Queue[T, P]) Pop() broption.Option[Item[T]] {
	if q.length == 0 {
		return broption.None[Item[T]]()
	}
	f := q.active[0]
	if f.credit == 0 {
		f.credit = f.weight
	}
	item := f.items[0]
	f.items[0] = Item[T]{} // release the value for garbage collection
	f.items = f.items[1:]
	f.credit--
	q.length--
	if len(f.items) == 0 {
		q.removeFlow(f)
	} else if f.credit == 0 {
		q.active = append(q.active[1:], f)
	}
	return broption.Some(item)
}

// Expire removes and returns the items whose deadline has passed.
func (q *Queue[T, P]) Expire(now time.Time) []Item[T] {
	return q.removeIf(func(i Item[T]) bool { return !i.deadline.IsZero() && !now.Before(i.deadline) })
}

// Remove removes the items whose value matches.
func (q *Queue[T, P]) Remove(matches func(value T) bool) {
	q.removeIf(func(i Item[T]) bool { return matches(i.value) })
}

func (q *Queue[T, P]) removeIf(matches func(item Item[T]) bool) []Item[T] {
	removed := []Item[T]{}
	for _, f := range slices.Clone(q.active) {
		f.items = slices.DeleteFunc(f.items, func(i Item[T]) bool {
			if !matches(i) {
				return false
			}
			removed = append(removed, i)
			return true
		})
		if len(f.items) == 0 {
			q.removeFlow(f)
		}
	}
	q.length -= len(removed)
	return removed
}

// flowKey returns the key of an item's flow. Without round robin all items share one
// flow.
func (q *Queue[T, P]) flowKey(item Item[T]) string {
	if q.policy.RoundRobin() {
		return item.organisation
	}
	return ""
}

func (q *Queue[T, P]) add(item Item[T]) {
	key := q.flowKey(item)
	f, ok := q.flows[key]
	if !ok {
		f = &flow[T]{organisation: key}
		q.flows[key] = f
		q.active = append(q.active, f)
	}
	f.weight = item.weight
	f.items = append(f.items, item)
	q.length++
}

// heaviestFlow returns the flow with the most waiting items relative to its weight, if
// that is more than the flow of the new item would have.
func (q *Queue[T, P]) heaviestFlow(item Item[T]) broption.Option[*flow[T]] {
	own := q.flows[q.flowKey(item)]
	most, weight := 1, item.weight
	if own != nil {
		most += len(own.items)
	}
	heaviest := broption.None[*flow[T]]()
	for _, f := range q.active {
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
		q.removeFlow(f)
	}
	return item
}

// removeFlow removes an empty flow, so that memory is bounded by the number of waiting
// items.
func (q *Queue[T, P]) removeFlow(f *flow[T]) {
	delete(q.flows, f.organisation)
	q.active = slices.DeleteFunc(q.active, func(other *flow[T]) bool { return other == f })
}
