// Package brduty runs duties: one goroutine for each, fed by bounded rings.
//
// A duty owns its state. It takes a message, calls decisions, sends messages
// to other duties, and never shares what it owns, so that it needs no lock.
// Three things reach it: messages on a queue, the newest snapshot on a ring of
// one place, and ticks.
//
// A Group starts duties, watches that each takes its messages, and stops them.
// A panic in one duty is reported and ends the whole group: a VM that has lost
// a duty must not go on half alive.
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
	noPeriod        = 24 * time.Hour
	// maxBatch bounds the messages handled between two looks at the snapshot
	// ring and the timer.
	maxBatch = 256
)

// Handler is what a duty does. All its methods run on the duty's goroutine.
type Handler[M, S any] interface {
	// Handle takes one message.
	Handle(ctx context.Context, message M)
	// Update takes a new snapshot.
	Update(ctx context.Context, snapshot S)
	// Tick is called once a period.
	Tick(ctx context.Context, now time.Time)
}

// Scheduler is a handler that asks for a tick before the period is over.
type Scheduler interface {
	// Due returns the time from now until the handler wants its next tick, if
	// it wants one at all before the period is over.
	Due(now time.Time) (time.Duration, bool)
}

// Duty is one goroutine with the rings that feed it.
type Duty[M, S any] struct {
	name      string
	handler   Handler[M, S]
	clock     brclock.Clock
	queue     *brring.Queue[M]
	snapshots *brring.Latest[S]
	period    time.Duration
	handled   atomic.Uint64
	ended     atomic.Bool
}

type options struct {
	capacity int
	reserve  int
	period   time.Duration
}

// Option changes a default of a duty.
type Option func(*options)

// WithCapacity sets how many messages the duty's queue holds.
func WithCapacity(messages int) Option {
	return func(o *options) { o.capacity = messages }
}

// WithoutTicks is for a handler whose Tick does nothing.
func WithoutTicks() Option {
	return WithPeriod(noPeriod)
}

// WithReserve adds places to the duty's queue for messages that are sent by
// SendReserved.
func WithReserve(messages int) Option {
	return func(o *options) { o.reserve = messages }
}

// WithPeriod sets the time between two ticks.
func WithPeriod(period time.Duration) Option {
	return func(o *options) { o.period = period }
}

// New returns a duty that is not started yet.
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

// Queue returns the ring that takes the duty's messages.
func (d *Duty[M, S]) Queue() *brring.Queue[M] { return d.queue }

// Snapshots returns the ring that takes the duty's snapshots.
func (d *Duty[M, S]) Snapshots() *brring.Latest[S] { return d.snapshots }

// Progress returns how often the duty has come back to its rings, and how many
// messages wait for it. The watchdog compares two readings.
func (d *Duty[M, S]) Progress() Progress {
	return Progress{
		rounds:   d.handled.Load(),
		waiting:  d.queue.Len() + d.snapshots.Len(),
		capacity: d.queue.Cap(),
		dropped:  d.queue.Dropped(),
		ended:    d.ended.Load(),
	}
}

// Run handles messages until the context ends. It is called by a Group.
func (d *Duty[M, S]) Run(ctx context.Context) {
	defer d.end()
	timer := d.clock.NewTimer(d.period)
	defer timer.Stop()
	armed := d.clock.Now().Add(d.period)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.snapshots.Ready():
			d.takeSnapshot(ctx)
		case <-d.queue.Ready():
			d.takeBatch(ctx)
		case <-timer.C():
			d.handler.Tick(ctx, d.clock.Now())
			timer.Reset(d.period)
			armed = d.clock.Now().Add(d.period)
		}
		d.handled.Add(1)
		armed = d.schedule(timer, armed)
	}
}

// schedule arms the timer for the tick that the handler asks for and returns
// when the next tick comes. It only ever brings the tick forward, so that a
// handler that is always busy still gets it.
func (d *Duty[M, S]) schedule(timer brclock.Timer, armed time.Time) time.Time {
	scheduler, ok := d.handler.(Scheduler)
	if !ok {
		return armed
	}
	now := d.clock.Now()
	due, wanted := scheduler.Due(now)
	wish := now.Add(max(due, 0))
	if !wanted || !wish.Before(armed) {
		return armed
	}
	timer.Reset(max(due, 0))
	return wish
}

func (d *Duty[M, S]) end() {
	d.ended.Store(true)
	d.queue.Close()
	d.snapshots.Close()
}

func (d *Duty[M, S]) takeSnapshot(ctx context.Context) {
	if snapshot, ok := d.snapshots.TryReceive(); ok {
		d.handler.Update(ctx, snapshot)
	}
}

func (d *Duty[M, S]) takeBatch(ctx context.Context) {
	for range maxBatch {
		message, ok := d.queue.TryReceive()
		if !ok {
			return
		}
		// A snapshot that was sent before a message is in force for it.
		d.takeSnapshot(ctx)
		d.handler.Handle(ctx, message)
	}
	d.queue.Wake()
}
