// Package brduty runs duties. A duty is a single-goroutine actor that receives its
// input through bounded rings.
//
// A duty owns its state exclusively and therefore needs no locks: it handles one
// message at a time, calls the decision packages and communicates with other
// duties only by sending messages. Its input consists of messages from a queue, the
// latest snapshot from a ring with one slot, and periodic ticks.
//
// A Group starts duties, monitors them with a watchdog and stops them. A panic in
// one duty is reported and stops the whole group, because a VM must not continue
// to run with one of its duties missing.
//
// # Usage
//
//	duty := brduty.New[Message, Snapshot]("admission", handler, clock,
//		brduty.WithCapacity(4096), brduty.WithPeriod(100*time.Millisecond))
//	group := brduty.NewGroup(ctx, clock, observer)
//	group.Start(duty)
//	err := duty.Queue().Send(message)
//	group.Stop()
package brduty

import (
	"context"
	"sync/atomic"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brring"
)

const (
	defaultCapacity = 1024 // messages
	defaultPeriod   = time.Second
	disabledPeriod  = 24 * time.Hour // ticks are not needed
	// maxBatch limits the number of messages handled before the duty checks the
	// snapshot ring and the timer again.
	maxBatch = 256
)

// Handler implements the behaviour of a duty. All its methods are called on the
// duty's goroutine.
type Handler[M, S any] interface {
	// Handle processes one message.
	Handle(ctx context.Context, message M)
	// Update replaces the current snapshot.
	Update(ctx context.Context, snapshot S)
	// Tick is called periodically, see WithPeriod, and when a Scheduler is due.
	Tick(ctx context.Context, now time.Time)
}

// Scheduler is implemented by handlers that need ticks before the period elapses.
type Scheduler interface {
	// Due returns the delay from now to the next tick that the handler needs, and
	// false if the regular tick is sufficient.
	Due(now time.Time) (time.Duration, bool)
}

// Finisher is implemented by handlers that complete their work when the duty stops.
type Finisher interface {
	// Finish is called after the messages that were pending at the stop have been
	// handled.
	Finish()
}

// Duty is a goroutine together with the rings from which it receives messages and
// snapshots.
type Duty[M, S any] struct {
	name      string
	handler   Handler[M, S]
	clock     brclock.Clock
	queue     *brring.Queue[M]
	snapshots *brring.Latest[S]
	period    time.Duration
	rounds    atomic.Uint64
	ended     atomic.Bool
}

type options struct {
	capacity int
	reserve  int
	period   time.Duration
}

// Option configures a duty.
type Option func(*options)

// WithCapacity sets the capacity of the duty's queue in messages.
func WithCapacity(messages int) Option {
	return func(o *options) { o.capacity = messages }
}

// WithoutTicks effectively disables periodic ticks, for handlers whose Tick does
// nothing.
func WithoutTicks() Option {
	return WithPeriod(disabledPeriod)
}

// WithReserve adds slots to the duty's queue that are reserved for messages sent
// with SendReserved.
func WithReserve(messages int) Option {
	return func(o *options) { o.reserve = messages }
}

// WithPeriod sets the interval between periodic ticks.
func WithPeriod(period time.Duration) Option {
	return func(o *options) { o.period = period }
}

// New returns a duty with the given handler. The duty is started by Group.Start.
func New[M, S any](name string, handler Handler[M, S], clock brclock.Clock, opts ...Option) *Duty[M, S] {
	o := options{capacity: defaultCapacity, period: defaultPeriod}
	for _, opt := range opts {
		opt(&o)
	}
	return &Duty[M, S]{
		name:      name,
		handler:   handler,
		clock:     clock,
		queue:     brring.NewQueueWithReserve[M](o.capacity, o.reserve),
		snapshots: brring.NewLatest[S](),
		period:    o.period,
	}
}

// Name returns the duty's name.
func (d *Duty[M, S]) Name() string { return d.name }

// Queue returns the ring from which the duty receives messages.
func (d *Duty[M, S]) Queue() *brring.Queue[M] { return d.queue }

// Snapshots returns the ring from which the duty receives snapshots.
func (d *Duty[M, S]) Snapshots() *brring.Latest[S] { return d.snapshots }

// Progress returns the current state of the duty and its rings. The watchdog
// compares consecutive readings to detect stalled duties.
func (d *Duty[M, S]) Progress() Progress {
	return Progress{
		rounds:   d.rounds.Load(),
		waiting:  d.queue.Len() + d.snapshots.Len(),
		capacity: d.queue.Cap(),
		dropped:  d.queue.Dropped(),
		ended:    d.ended.Load(),
	}
}

// Run processes messages, snapshots and ticks until the context is done. It is
// called by Group.
func (d *Duty[M, S]) Run(ctx context.Context) {
	defer d.close()
	timer := d.clock.NewTimer(d.period)
	defer timer.Stop()
	nextTick := d.clock.Now().Add(d.period)
	for {
		select {
		case <-ctx.Done():
			d.finish(ctx)
			return
		case <-d.snapshots.Ready():
			d.updateSnapshot(ctx)
		case <-d.queue.Ready():
			d.handleBatch(ctx)
		case <-timer.C():
			d.handler.Tick(ctx, d.clock.Now())
			timer.Reset(d.period)
			nextTick = d.clock.Now().Add(d.period)
		}
		d.rounds.Add(1)
		nextTick = d.schedule(timer, nextTick)
	}
}

// schedule sets the timer to the tick that the handler needs and returns the time
// of the next tick. It moves a tick to an earlier time only. Otherwise a duty that
// receives messages continuously could postpone its tick indefinitely.
func (d *Duty[M, S]) schedule(timer brclock.Timer, nextTick time.Time) time.Time {
	scheduler, ok := d.handler.(Scheduler)
	if !ok {
		return nextTick
	}
	now := d.clock.Now()
	due, isNeeded := scheduler.Due(now)
	requested := now.Add(max(due, 0))
	if !isNeeded || !requested.Before(nextTick) {
		return nextTick
	}
	timer.Reset(max(due, 0))
	return requested
}

// finish handles the pending messages if the handler is a Finisher. Their number is
// bounded, so that senders that go on can't delay the stop.
func (d *Duty[M, S]) finish(ctx context.Context) {
	finisher, ok := d.handler.(Finisher)
	if !ok {
		return
	}
	for range d.queue.Cap() {
		message, pending := d.queue.TryReceive()
		if !pending {
			break
		}
		d.handler.Handle(ctx, message)
	}
	finisher.Finish()
}

func (d *Duty[M, S]) close() {
	d.ended.Store(true)
	d.queue.Close()
	d.snapshots.Close()
}

func (d *Duty[M, S]) updateSnapshot(ctx context.Context) {
	if snapshot, ok := d.snapshots.TryReceive(); ok {
		d.handler.Update(ctx, snapshot)
	}
}

func (d *Duty[M, S]) handleBatch(ctx context.Context) {
	for range maxBatch {
		message, ok := d.queue.TryReceive()
		if !ok {
			return
		}
		// A snapshot that was sent before a message must apply to that message.
		d.updateSnapshot(ctx)
		d.handler.Handle(ctx, message)
	}
	d.queue.Wake()
}
