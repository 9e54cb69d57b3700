package brring

import (
	"context"
	"sync"
)

// Reply is a ring of one place that carries the answer to one message back to
// its sender. Replies come from a ReplyPool, so that asking allocates nothing.
type Reply[T any] struct {
	ring *Queue[T]
}

// NewReply returns a reply that answers into a ring.
func NewReply[T any](ring *Queue[T]) Reply[T] {
	return Reply[T]{ring: ring}
}

// Expected reports whether someone waits for the answer; the zero Reply has nobody.
func (r Reply[T]) Expected() bool { return r.ring != nil }

// Answer hands the answer to the sender. A second answer is dropped.
func (r Reply[T]) Answer(answer T) {
	_ = r.ring.Send(answer)
}

// Take takes an answer back that the sender has not taken.
func (r Reply[T]) Take() (T, bool) { return r.ring.TryReceive() }

// Is reports whether both replies answer the same message.
func (r Reply[T]) Is(other Reply[T]) bool { return r.ring == other.ring }

// ReplyPool keeps reply rings for reuse.
type ReplyPool[T any] struct {
	pool sync.Pool
}

// NewReplyPool returns an empty pool.
func NewReplyPool[T any]() *ReplyPool[T] {
	return &ReplyPool[T]{pool: sync.Pool{New: func() any { return NewQueue[T](1) }}}
}

// Ask sends a message made by build, which gets the reply to put into it, and
// waits for the answer. A reply whose answer is not awaited to the end is never
// used again, so that a late answer reaches nobody else.
func Ask[M, A any](ctx context.Context, ring *Queue[M], pool *ReplyPool[A], build func(Reply[A]) M) (A, error) {
	replies, _ := pool.pool.Get().(*Queue[A])
	var none A
	if err := ring.Send(build(Reply[A]{ring: replies})); err != nil {
		pool.pool.Put(replies)
		return none, err
	}
	answer, err := replies.Receive(ctx)
	if err != nil {
		return none, err
	}
	pool.pool.Put(replies)
	return answer, nil
}
