// Package brring provides the bounded ring that joins two duties.
//
// A ring has any number of senders and one receiver. Its capacity is fixed
// when it is made. What a full ring does with one more message is a policy, a
// type parameter: Reject refuses the message, ReplaceOldest drops the message
// that has waited longest. Neither makes a sender wait, so that a duty that
// lags never stops the duties before it.
//
// A receiver that finds the ring empty sleeps on a channel; nothing spins.
//
// # Usage
//
//	ring := brring.NewQueue[Ask](1024)
//	if err := ring.Send(ask); brring.IsErrFull(err) {
//		// answer the caller: not run, try again later
//	}
//	ask, err := ring.Receive(ctx)
//
// A snapshot that replaces the one before it travels on a Latest:
//
//	latest := brring.NewLatest[Snapshot]()
//	latest.Send(snapshot)
package brring

import (
	"context"
	"sync"
)

// Policy says what a full ring does with one more message.
type Policy interface {
	// DropsOldest reports whether the message that has waited longest makes
	// room for the new one. Otherwise the new one is refused.
	DropsOldest() bool
}

// Reject refuses a message that finds the ring full.
type Reject struct{}

// DropsOldest is false: the new message is refused.
func (Reject) DropsOldest() bool { return false }

// ReplaceOldest drops the oldest message of a full ring.
type ReplaceOldest struct{}

// DropsOldest is true: the oldest message makes room.
func (ReplaceOldest) DropsOldest() bool { return true }

// Ring is a bounded first-in, first-out ring of messages.
type Ring[T any, P Policy] struct {
	mutex   sync.Mutex
	slots   []T
	head    int
	length  int
	reserve int
	dropped uint64
	closed  bool
	ready   chan struct{}
	policy  P
}

// Queue is a ring that refuses messages when it is full.
type Queue[T any] = Ring[T, Reject]

// Latest is a ring that drops its oldest message when it is full.
type Latest[T any] = Ring[T, ReplaceOldest]

// New returns an empty ring for capacity messages; a capacity below one counts as one.
func New[T any, P Policy](capacity int) *Ring[T, P] {
	return &Ring[T, P]{
		slots: make([]T, max(capacity, 1)),
		ready: make(chan struct{}, 1),
	}
}

// NewQueue returns an empty ring that refuses messages when it is full.
func NewQueue[T any](capacity int) *Queue[T] {
	return New[T, Reject](capacity)
}

// NewQueueWithReserve returns a queue for capacity messages in which the last
// reserve places take only what is sent by SendReserved. A message that gives
// back what an earlier one took finds room there when the ring is full for all
// others.
func NewQueueWithReserve[T any](capacity, reserve int) *Queue[T] {
	ring := NewQueue[T](capacity + reserve)
	ring.reserve = reserve
	return ring
}

// NewLatest returns a ring of one place that keeps only the newest message.
func NewLatest[T any]() *Latest[T] {
	return New[T, ReplaceOldest](1)
}

// Send puts a message into the ring without waiting.
// It returns ErrFull or ErrClosed.
func (r *Ring[T, P]) Send(message T) error {
	return r.send(message, len(r.slots)-r.reserve)
}

// SendReserved puts a message into the ring without waiting, into the reserve
// if need be. It returns ErrFull or ErrClosed.
func (r *Ring[T, P]) SendReserved(message T) error {
	return r.send(message, len(r.slots))
}

func (r *Ring[T, P]) send(message T, limit int) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return ErrClosed{}
	}
	if r.length >= limit {
		if !r.policy.DropsOldest() {
			r.dropped++
			return ErrFull{capacity: limit}
		}
		r.take()
		r.dropped++
	}
	r.slots[(r.head+r.length)%len(r.slots)] = message
	r.length++
	if r.length == 1 {
		r.wake()
	}
	return nil
}

// TryReceive takes the oldest message, if there is one.
func (r *Ring[T, P]) TryReceive() (T, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.length == 0 {
		var none T
		return none, false
	}
	return r.take(), true
}

// Receive takes the oldest message and sleeps while there is none.
// It returns ErrClosed once a closed ring is empty, or the context's error.
func (r *Ring[T, P]) Receive(ctx context.Context) (T, error) {
	for {
		message, ok := r.TryReceive()
		if ok {
			return message, nil
		}
		if r.Closed() {
			return message, ErrClosed{}
		}
		select {
		case <-r.ready:
		case <-ctx.Done():
			return message, context.Cause(ctx)
		}
	}
}

// Ready returns a channel that holds a value after an empty ring got a message
// or the ring was closed. A receiver that waits for several rings selects on
// it and then calls TryReceive until the ring is empty.
func (r *Ring[T, P]) Ready() <-chan struct{} {
	return r.ready
}

// Wake makes Ready hold a value if messages wait. A receiver that stops before
// the ring is empty calls it, so that it comes back.
func (r *Ring[T, P]) Wake() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.length > 0 {
		r.wake()
	}
}

// Close makes later sends fail. Messages already in the ring can still be received.
func (r *Ring[T, P]) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	r.wake()
}

// Closed reports whether Close was called.
func (r *Ring[T, P]) Closed() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.closed
}

// Len returns the number of messages that wait.
func (r *Ring[T, P]) Len() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.length
}

// Cap returns the number of messages that the ring holds at most.
func (r *Ring[T, P]) Cap() int {
	return len(r.slots)
}

// Dropped returns how many messages were refused or replaced so far.
func (r *Ring[T, P]) Dropped() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.dropped
}

func (r *Ring[T, P]) take() T {
	var none T
	message := r.slots[r.head]
	r.slots[r.head] = none
	r.head = (r.head + 1) % len(r.slots)
	r.length--
	return message
}

func (r *Ring[T, P]) wake() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}
