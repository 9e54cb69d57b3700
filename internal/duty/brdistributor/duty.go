// Package brdistributor provides the duty that owns the configuration of a VM and
// distributes it.
//
// It accepts deltas and snapshots from any provider (the poller, other VMs, or an
// operator's change made on this VM), applies those that follow its generation, and
// never returns to an older generation. It sends each new snapshot to its
// subscribers' rings and serves deltas and generation to other VMs.
//
// A head that was read elsewhere and equals the VM's own confirms that the VM's
// configuration is current at that time. A different head of the same generation,
// and an older head in the platform's table, are reported as events and never
// followed.
//
// # Usage
//
//	distributor := brdistributor.New(clock, events)
//	distributor.Subscribe(admission.Snapshots())
//	group.Start(distributor.Duty())
//	state, err := distributor.Offer(ctx, deltas)
//	state, err = distributor.Confirm(ctx, head, readAt, true)
package brdistributor

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

const (
	queueCapacity = 1024 // messages
	// waitResolution bounds how long after its timeout a wait is answered.
	waitResolution = 100 * time.Millisecond
	maxWaiters     = 4096
	// SnapshotInterval is the number of generations between two snapshots in
	// the object store.
	SnapshotInterval = 256
)

type message struct {
	deltas       [][]byte
	installation broption.Option[installation]
	headReading  broption.Option[headReading]
	above        uint64
	waiting      bool
	until        time.Time
	reply        brring.Reply[State]
}

type installation struct {
	head     brdocument.Head
	snapshot *brconfig.Snapshot
}

type headReading struct {
	head     brdocument.Head
	at       time.Time
	platform bool
}

// Distributor is the handle of the duty; its methods may be called from any goroutine.
type Distributor struct {
	clock      brclock.Clock
	duty       *brduty.Duty[message, struct{}]
	handler    *handler
	replies    *brring.ReplyPool[State]
	generation atomic.Uint64
}

// New returns the duty with an empty configuration.
func New(clock brclock.Clock, events brevent.Recorder) *Distributor {
	d := &Distributor{clock: clock, replies: brring.NewReplyPool[State]()}
	d.handler = &handler{
		clock:      clock,
		events:     events,
		metrics:    newMetrics(),
		generation: &d.generation,
		state:      State{snapshot: brconfig.NewSnapshot()},
	}
	d.duty = brduty.New[message, struct{}]("spreading", d.handler, clock, brduty.WithCapacity(queueCapacity))
	return d
}

// Duty returns the runner to be passed to a brduty.Group.
func (d *Distributor) Duty() brduty.Runner { return d.duty }

// Subscribe registers a ring that receives every new snapshot. It must be called
// before the duty starts.
func (d *Distributor) Subscribe(ring *brring.Latest[*brconfig.Snapshot]) {
	d.handler.subscribers = append(d.handler.subscribers, ring)
}

// ConfirmationListener is notified of the times at which a VM's configuration was current.
type ConfirmationListener interface {
	// Confirm reports that at the given time no accepted change was newer than
	// this VM's configuration.
	Confirm(at time.Time)
}

// SubscribeConfirmations registers a listener for confirmations by the platform or by
// other VMs. It must be called before the duty starts.
func (d *Distributor) SubscribeConfirmations(listener ConfirmationListener) {
	d.handler.confirmationListeners = append(d.handler.confirmationListeners, listener)
}

// SubscribeTableReads registers a listener for reads of the platform's table that
// returned this VM's head. It must be called before the duty starts.
func (d *Distributor) SubscribeTableReads(listener ConfirmationListener) {
	d.handler.tableReadListeners = append(d.handler.tableReadListeners, listener)
}

// SubscribeArchive registers a ring that receives each state whose snapshot is to be
// written to the object store. It must be called before the duty starts.
func (d *Distributor) SubscribeArchive(ring *brring.Latest[State]) {
	d.handler.archives = append(d.handler.archives, ring)
}

// Generation returns the VM's generation without a message to the duty.
func (d *Distributor) Generation() uint64 { return d.generation.Load() }

// State returns the VM's current state.
func (d *Distributor) State(ctx context.Context) (State, error) {
	return d.query(ctx, message{})
}

// Offer applies encoded deltas, oldest first, and returns the resulting state.
// Deltas that do not follow the VM's generation are ignored.
func (d *Distributor) Offer(ctx context.Context, deltas [][]byte) (State, error) {
	return d.query(ctx, message{deltas: deltas})
}

// Install replaces the configuration by a full snapshot, if that is newer, and
// returns the resulting state.
func (d *Distributor) Install(ctx context.Context, head brdocument.Head, snapshot *brconfig.Snapshot) (State, error) {
	return d.query(ctx, message{installation: broption.Some(installation{head: head, snapshot: snapshot})})
}

// Confirm reports the head that was the newest one at the given time according to
// the platform or to another VM, and returns the resulting state.
func (d *Distributor) Confirm(ctx context.Context, head brdocument.Head, at time.Time, platform bool) (State, error) {
	return d.query(ctx, message{headReading: broption.Some(headReading{head: head, at: at, platform: platform})})
}

// Wait returns the VM's state once its generation is above the given one, or when
// the timeout has elapsed.
func (d *Distributor) Wait(ctx context.Context, above uint64, timeout time.Duration) (State, error) {
	return d.query(ctx, message{above: above, waiting: timeout > 0, until: d.clock.Now().Add(timeout)})
}

func (d *Distributor) query(ctx context.Context, m message) (State, error) {
	state, err := brring.Ask(ctx, d.duty.Queue(), d.replies, func(reply brring.Reply[State]) message {
		m.reply = reply
		return m
	})
	if err != nil {
		return State{}, errors.Errorf("query configuration duty: %w", err)
	}
	return state, nil
}
