// Package brlink limits the bandwidth of a link between regions.
//
// A Pacer enforces the sending VM's share of a link's bytes per second. Streams
// enqueue one chunk at a time and are served round-robin, so that a small look-up
// is not delayed by a large extract: each stream waits for at most one chunk of
// every other stream.
//
// # Usage
//
//	pacer := brlink.NewPacer[brring.Reply[struct{}]](bytesPerSecond, now)
//	err := pacer.Enqueue("request-7", brlink.MaxChunk, reply)
//	for _, reply := range pacer.Grant(now) {
//		reply.Answer(struct{}{})
//	}
//	wait, waiting := pacer.NextDelay(now)
package brlink

import (
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/decide/brfairqueue"
	"bergamotroad.example/bergamotroad/internal/decide/brshare"
)

const (
	// MaxChunk is the maximum size of a chunk in bytes.
	MaxChunk = 32 << 10
	// burstDuration is the time over which an idle link accumulates the bytes that
	// may then be sent at once.
	burstDuration = 20 * time.Millisecond
	// maxWaiting bounds the chunks that wait for one link.
	maxWaiting = 4096
)

// chunk is a part of a stream that waits to be sent. value identifies it to the
// caller.
type chunk[T any] struct {
	bytes int64
	value T
}

// Pacer limits the rate at which one VM sends over one link. It is not safe
// for concurrent use.
type Pacer[T any] struct {
	bucket    *brshare.Bucket
	queue     *brfairqueue.Queue[chunk[T], brfairqueue.Weighted]
	nextChunk broption.Option[chunk[T]]
}

// NewPacer returns a pacer for a VM that may send bytesPerSecond over the link.
func NewPacer[T any](bytesPerSecond int64, now time.Time) *Pacer[T] {
	return &Pacer[T]{
		bucket: brshare.NewBucket(shareOf(bytesPerSecond), now),
		queue:  brfairqueue.New[chunk[T], brfairqueue.Weighted](maxWaiting),
	}
}

// SetRate sets the rate. Unused tokens are kept, up to the new burst.
func (p *Pacer[T]) SetRate(bytesPerSecond int64, now time.Time) {
	p.bucket.SetShare(shareOf(bytesPerSecond), now)
}

// Enqueue enqueues a chunk of a stream. A size above MaxChunk counts as MaxChunk. It
// returns brfairqueue.ErrFull if too many chunks wait.
func (p *Pacer[T]) Enqueue(stream string, bytes int64, value T) error {
	c := chunk[T]{bytes: min(bytes, MaxChunk), value: value}
	if _, err := p.queue.Push(brfairqueue.NewItem(stream, 1, time.Time{}, c)); err != nil {
		return errors.Errorf("enqueue chunk for link: %w", err)
	}
	return nil
}

// Grant dequeues the chunks that may be sent now and returns their values in
// order.
func (p *Pacer[T]) Grant(now time.Time) []T {
	var granted []T
	for p.fetchNext() {
		c, _ := p.nextChunk.Get()
		if !p.bucket.Take(c.bytes, now) {
			break
		}
		granted = append(granted, c.value)
		p.nextChunk = broption.None[chunk[T]]()
	}
	return granted
}

// Remove removes the waiting chunks whose value matches. They use none of the link's bytes.
func (p *Pacer[T]) Remove(matches func(value T) bool) {
	if c, ok := p.nextChunk.Get(); ok && matches(c.value) {
		p.nextChunk = broption.None[chunk[T]]()
	}
	p.queue.Remove(func(c chunk[T]) bool { return matches(c.value) })
}

// NextDelay returns the time until the next chunk may be sent. It returns false if
// no chunk waits.
func (p *Pacer[T]) NextDelay(now time.Time) (time.Duration, bool) {
	if !p.fetchNext() {
		return 0, false
	}
	c, _ := p.nextChunk.Get()
	return p.bucket.Wait(c.bytes, now)
}

// fetchNext dequeues the next chunk unless one is dequeued already, and reports
// whether there is one.
func (p *Pacer[T]) fetchNext() bool {
	if p.nextChunk.IsPresent() {
		return true
	}
	item, ok := p.queue.Pop().Get()
	if ok {
		p.nextChunk = broption.Some(item.Value())
	}
	return ok
}

// shareOf returns a share whose burst is at least one chunk; with a smaller
// burst a full chunk could never be sent.
func shareOf(bytesPerSecond int64) brshare.Share {
	burst := bytesPerSecond * int64(burstDuration) / int64(time.Second)
	return brshare.NewShare(bytesPerSecond, time.Second, max(burst, MaxChunk))
}
