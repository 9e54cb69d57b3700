package brplacement

import (
	"cmp"
	"slices"
	"time"
)

// maxWaiting bounds the requests that wait for a server at one VM. It is far
// above what can be served within the time that a request waits.
const maxWaiting = 1024

// Queue is a priority queue of the requests that wait for a server: ordered by
// priority, then by the time at which the caller gives up. A request that is
// retried after a refusal has the least time left and therefore goes first. It
// has one owner.
type Queue[T any] struct {
	waiting []waiter[T]
}

type waiter[T any] struct {
	ask   Query
	until time.Time
	value T
}

// Add enqueues a request that waits until the given time. It returns false if
// the queue is full of requests that are at least as urgent. A request that it
// displaces is returned by the next Expire.
func (l *Queue[T]) Add(ask Query, until time.Time, value T) bool {
	w := waiter[T]{ask: ask, until: until, value: value}
	at, _ := slices.BinarySearchFunc(l.waiting, w, compare[T])
	if at >= maxWaiting {
		return false
	}
	l.waiting = slices.Insert(l.waiting, at, w)
	if len(l.waiting) > maxWaiting {
		l.waiting[maxWaiting].until = time.Time{}
	}
	return true
}

func compare[T any](a, b waiter[T]) int {
	if c := cmp.Compare(a.ask.priority, b.ask.priority); c != 0 {
		return c
	}
	if c := a.ask.deadline.Compare(b.ask.deadline); c != 0 {
		return c
	}
	return -1 // equal requests keep their order of arrival
}

// Serve offers the waiting requests to take in order and removes those for which
// it returns true.
func (l *Queue[T]) Serve(take func(ask Query, value T) bool) {
	l.waiting = slices.DeleteFunc(l.waiting, func(w waiter[T]) bool { return take(w.ask, w.value) })
}

// Expire removes and returns the requests whose waiting time has ended.
func (l *Queue[T]) Expire(now time.Time) []T {
	expired := []T{}
	l.waiting = slices.DeleteFunc(l.waiting, func(w waiter[T]) bool {
		if now.Before(w.until) {
			return false
		}
		expired = append(expired, w.value)
		return true
	})
	return expired
}

// Len returns the number of waiting requests.
func (l *Queue[T]) Len() int { return len(l.waiting) }

// NextExpiry returns the earliest time at which a waiting request expires.
func (l *Queue[T]) NextExpiry() (time.Time, bool) {
	next := time.Time{}
	for _, w := range l.waiting {
		if next.IsZero() || w.until.Before(next) {
			next = w.until
		}
	}
	return next, len(l.waiting) > 0
}
