// Package brring provides bounded ring buffers for messages between duties.
//
// A ring has any number of senders, one receiver and a fixed capacity. A type
// parameter selects the policy for messages sent to a full ring: Reject rejects the
// new message, ReplaceOldest drops the oldest one. Sending never blocks, so that a
// slow duty cannot block the duties that send to it.
//
// The receiver of an empty ring blocks on a channel; there is no busy waiting.
//
// Ask and Reply implement requests with an answer on top of rings.
//
// # Usage
//
//	ring := brring.NewQueue[Message](1024)
//	if err := ring.Send(message); brring.IsErrFull(err) {
//		// overloaded: tell the caller that the request did not run and can be retried
//	}
//	message, err := ring.Receive(ctx)
//
// Use a Latest for snapshots, where each one supersedes the previous one:
//
//	latest := brring.NewLatest[Snapshot]()
//	err := latest.Send(snapshot)
package brring

import (
	"context"
	"sync"
)

// Policy selects what happens to a message that is sent to a full ring.
type Policy interface {
	// DropsOldest reports whether the oldest message is dropped to make room for
	// the new one. Otherwise the new one is rejected.
	DropsOldest() bool
}

// Reject is the policy that rejects messages sent to a full ring.
type Reject struct{}

// DropsOldest returns false: the new message is rejected.
func (Reject) DropsOldest() bool { return false }

// ReplaceOldest is the policy that drops the oldest message of a full ring.
type ReplaceOldest struct{}

// DropsOldest returns true: the oldest message is dropped.
func (ReplaceOldest) DropsOldest() bool { return true }

// Ring is a bounded FIFO queue of messages, implemented as a ring buffer. It is safe
// for concurrent use, with a single receiver.
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

// Queue is a ring that rejects new messages when it is full.
type Queue[T any] = Ring[T, Reject]

// Latest is a ring that drops its oldest message when it is full.
type Latest[T any] = Ring[T, ReplaceOldest]

// New returns an empty ring with a capacity of at least one message.
func New[T any, P Policy](capacity int) *Ring[T, P] {
	return &Ring[T, P]{
		slots: make([]T, max(capacity, 1)),
		ready: make(chan struct{}, 1),
	}
}

// NewQueue returns an empty ring that rejects new messages when it is full.
func NewQueue[T any](capacity int) *Queue[T] {
	return New[T, Reject](capacity)
}

// NewQueueWithReserve returns an empty queue with capacity slots for all messages
// and reserve additional slots for messages sent with SendReserved. An example is a
// message that releases a resource acquired by an earlier one: it is accepted even
// while the queue is full for other messages.
func NewQueueWithReserve[T any](capacity, reserve int) *Queue[T] {
	ring := NewQueue[T](capacity + reserve)
	ring.reserve = reserve
	return ring
}

// NewLatest returns an empty ring with one slot, which keeps the newest message only.
func NewLatest[T any]() *Latest[T] {
	return New[T, ReplaceOldest](1)
}

// Send adds a message to the ring without blocking. It returns ErrFull if the
// message is rejected, or ErrClosed.
func (r *Ring[T, P]) Send(message T) error {
	return r.send(message, len(r.slots)-r.reserve)
}

// SendReserved adds a message to the ring without blocking and may use the reserved
// slots. It returns ErrFull if the message is rejected, or ErrClosed.
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
		r.removeOldest()
		r.dropped++
	}
	r.slots[(r.head+r.length)%len(r.slots)] = message
	r.length++
	if r.length == 1 {
		r.signal()
	}
	return nil
}

// TryReceive removes and returns the oldest message, or returns false if the ring
// is empty.
func (r *Ring[T, P]) TryReceive() (T, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.length == 0 {
		var zero T
		return zero, false
	}
	return r.removeOldest(), true
}

// Receive removes and returns the oldest message, and blocks while the ring is
// empty. It returns ErrClosed if the ring is closed and empty, or the cause of the
// context's cancellation.
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

// Ready returns a channel that receives a value when a message is added to an empty
// ring or the ring is closed. A receiver of several rings selects on their channels
// and then calls TryReceive until the ring is empty.
func (r *Ring[T, P]) Ready() <-chan struct{} {
	return r.ready
}

// Wake signals the Ready channel if the ring is not empty. A receiver calls it when
// it stops receiving before the ring is empty, so that its next select returns.
func (r *Ring[T, P]) Wake() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.length > 0 {
		r.signal()
	}
}

// Close makes later sends fail with ErrClosed. Messages already in the ring can still
// be received.
func (r *Ring[T, P]) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	r.signal()
}

// Closed reports whether Close was called.
func (r *Ring[T, P]) Closed() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.closed
}

// Len returns the number of messages in the ring.
func (r *Ring[T, P]) Len() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.length
}

// Cap returns the capacity in messages, including the reserve.
func (r *Ring[T, P]) Cap() int {
	return len(r.slots)
}

// Dropped returns the number of messages that were rejected or replaced so far.
func (r *Ring[T, P]) Dropped() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.dropped
}

func (r *Ring[T, P]) removeOldest() T {
	var zero T
	message := r.slots[r.head]
	r.slots[r.head] = zero
	r.head = (r.head + 1) % len(r.slots)
	r.length--
	return message
}

func (r *Ring[T, P]) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}
