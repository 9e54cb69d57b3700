package brplacement

import (
	"cmp"
	"slices"
	"time"
)

// maxWaiting bounds the requests that wait for a server on one VM. It is far
// above what can be served within the time that a request waits.
const maxWaiting = 1024

// Queue is a priority queue of the requests that wait for a server, ordered by
// priority, then by the time at which the caller gives up. A request that is
// retried after a refusal has the least time left, so it precedes others of its
// priority. Queue is not safe for concurrent use.
type Queue[T any] struct {
	waiting []waiter[T]
}

// waiter is a waiting request.
type waiter[T any] struct {
	query Query
	until time.Time
	value T
}

// Add enqueues a request that waits until the given time. It returns false if
// the queue is full of requests that are at least as urgent. A request that it
// displaces is returned by the next Expire.
func (q *Queue[T]) Add(query Query, until time.Time, value T) bool {
	w := waiter[T]{query: query, until: until, value: value}
	at, _ := slices.BinarySearchFunc(q.waiting, w, compareUrgency[T])
	if at >= maxWaiting {
		return false
	}
	q.waiting = slices.Insert(q.waiting, at, w)
	if len(q.waiting) > maxWaiting {
		q.waiting[maxWaiting].until = time.Time{}
	}
	return true
}

// compareUrgency orders requests by priority, then by deadline.
func compareUrgency[T any](a, b waiter[T]) int {
	if c := cmp.Compare(a.query.priority, b.query.priority); c != 0 {
		return c
	}
	if c := a.query.deadline.Compare(b.query.deadline); c != 0 {
		return c
	}
	return -1 // equal requests keep their order of arrival
}

// Serve calls take for each waiting request in order, and removes those for which it
// returns true.
func (q *Queue[T]) Serve(take func(query Query, value T) bool) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w waiter[T]) bool { return take(w.query, w.value) })
}

// Expire removes and returns the requests whose waiting time has ended.
func (q *Queue[T]) Expire(now time.Time) []T {
	expired := []T{}
	q.waiting = slices.DeleteFunc(q.waiting, func(w waiter[T]) bool {
		if now.Before(w.until) {
			return false
		}
		expired = append(expired, w.value)
		return true
	})
	return expired
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// NextExpiry returns the earliest time at which a waiting request expires.
func (q *Queue[T]) NextExpiry() (time.Time, bool) {
	next := time.Time{}
	for _, w := range q.waiting {
		if next.IsZero() || w.until.Before(next) {
			next = w.until
		}
	}
	return next, len(q.waiting) > 0
}
