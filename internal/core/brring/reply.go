package brring

import (
	"context"
	"sync"
)

// Reply is a ring with one slot that carries the answer to a message back to its
// sender. Reply rings are reused through a ReplyPool, so that a request allocates no
// memory. The zero Reply is used for messages whose sender expects no answer.
type Reply[T any] struct {
	ring *Queue[T]
}

// NewReply returns a reply whose answer is sent to the given ring.
func NewReply[T any](ring *Queue[T]) Reply[T] {
	return Reply[T]{ring: ring}
}

// IsExpected reports whether the sender expects an answer. It is false for the zero
// Reply.
func (r Reply[T]) IsExpected() bool { return r.ring != nil }

// Answer sends the answer to the sender and reports whether the sender receives it. It
// returns false if the sender no longer waits, or has an answer already. A duty that
// gives something away with its answer takes it back then.
func (r Reply[T]) Answer(answer T) bool { return r.ring.Send(answer) == nil }

// IsAbandoned reports whether the sender no longer waits. It may stop waiting at any
// time, so only the result of Answer says whether it received an answer.
func (r Reply[T]) IsAbandoned() bool { return r.ring.Closed() }

// Equal reports whether both replies belong to the same message.
func (r Reply[T]) Equal(other Reply[T]) bool { return r.ring == other.ring }

// ReplyPool is a pool of reply rings for Ask. It is safe for concurrent use.
type ReplyPool[T any] struct {
	pool sync.Pool
}

// NewReplyPool returns an empty pool.
func NewReplyPool[T any]() *ReplyPool[T] {
	return &ReplyPool[T]{pool: sync.Pool{New: func() any { return NewQueue[T](1) }}}
}

// Ask sends a message to a ring and waits for the answer. The build function
// creates the message with the given Reply in it.
//
// If the context is done first, Ask closes the reply, so that a later Answer returns
// false. An answer that was sent before is returned all the same: what the duty gave
// away with it belongs to the caller. A closed reply ring is not returned to the pool.
func Ask[M, A any](ctx context.Context, ring *Queue[M], pool *ReplyPool[A], build func(Reply[A]) M) (A, error) {
	replies, _ := pool.pool.Get().(*Queue[A])
	var zero A
	if err := ring.Send(build(Reply[A]{ring: replies})); err != nil {
		pool.pool.Put(replies)
		return zero, err
	}
	answer, err := replies.Receive(ctx)
	if err != nil {
		replies.Close()
		if sent, ok := replies.TryReceive(); ok {
			return sent, nil
		}
		return zero, err
	}
	pool.pool.Put(replies)
	return answer, nil
}
