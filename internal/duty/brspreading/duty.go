// Package brspreading provides the duty that holds the configuration of a VM.
//
// It takes deltas and snapshots from whoever has them (the poller, other VMs,
// an operator's change made here), applies what follows its generation and
// never goes back. It hands each new snapshot to its subscribers' rings and
// gives deltas and generation to other VMs.
//
// A head that was read elsewhere confirms the VM's own, so that a VM knows how
// old its knowledge is. A head of the same generation that differs, and a
// platform that names an older one, are reported and never followed.
//
// # Usage
//
//	spreading := brspreading.New(clock, timeline)
//	spreading.Subscribe(admission.Snapshots())
//	group.Start(spreading.Duty())
//	state, err := spreading.Offer(ctx, deltas)
//	state, err = spreading.Confirm(ctx, head, readAt, true)
package brspreading

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
	// waitPeriod bounds how late a question that was held is answered.
	waitPeriod = 100 * time.Millisecond
	maxWaiters = 4096
	// SnapshotInterval is the number of generations between two snapshots in
	// the object store.
	SnapshotInterval = 256
)

type message struct {
	deltas       [][]byte
	installation broption.Option[installation]
	reading      broption.Option[reading]
	above        uint64
	waiting      bool
	until        time.Time
	reply        brring.Reply[State]
}

type installation struct {
	head     brdocument.Head
	snapshot *brconfig.Snapshot
}

type reading struct {
	head     brdocument.Head
	at       time.Time
	platform bool
}

// Spreading is the duty with the calls that reach it.
type Spreading struct {
	clock      brclock.Clock
	duty       *brduty.Duty[message, struct{}]
	handler    *handler
	states     *brring.ReplyPool[State]
	generation atomic.Uint64
}

// New returns the duty with the empty configuration.
func New(clock brclock.Clock, events brevent.Recorder) *Spreading {
	s := &Spreading{clock: clock, states: brring.NewReplyPool[State]()}
	s.handler = &handler{
		clock:      clock,
		events:     events,
		metrics:    newMetrics(),
		generation: &s.generation,
		state:      State{snapshot: brconfig.NewSnapshot()},
	}
	s.duty = brduty.New[message, struct{}]("spreading", s.handler, clock, brduty.WithCapacity(queueCapacity))
	return s
}

// Duty returns the duty to be started.
func (s *Spreading) Duty() brduty.Runner { return s.duty }

// Subscribe sends every later snapshot to a ring. It is called before the duty starts.
func (s *Spreading) Subscribe(ring *brring.Latest[*brconfig.Snapshot]) {
	s.handler.subscribers = append(s.handler.subscribers, ring)
}

// Confirmer hears at which moments a VM's configuration was known to be current.
type Confirmer interface {
	// Confirm says that at a moment no accepted change was newer than the
	// configuration that this VM holds.
	Confirm(at time.Time)
}

// SubscribeConfirmed tells each later confirmation. It is called before the duty starts.
func (s *Spreading) SubscribeConfirmed(confirmer Confirmer) {
	s.handler.confirmers = append(s.handler.confirmers, confirmer)
}

// SubscribeTableRead tells each later moment at which the platform's table held
// this VM's head. It is called before the duty starts.
func (s *Spreading) SubscribeTableRead(confirmer Confirmer) {
	s.handler.tableReaders = append(s.handler.tableReaders, confirmer)
}

// SubscribeArchive sends each state whose snapshot is due in the object store
// to a ring. It is called before the duty starts.
func (s *Spreading) SubscribeArchive(ring *brring.Latest[State]) {
	s.handler.archives = append(s.handler.archives, ring)
}

// Generation returns the VM's generation without asking the duty.
func (s *Spreading) Generation() uint64 { return s.generation.Load() }

// State returns what the VM holds.
func (s *Spreading) State(ctx context.Context) (State, error) {
	return s.ask(ctx, message{})
}

// Offer applies encoded deltas, oldest first, and returns what the VM holds
// then. Deltas that do not follow its generation are left out.
func (s *Spreading) Offer(ctx context.Context, deltas [][]byte) (State, error) {
	return s.ask(ctx, message{deltas: deltas})
}

// Install takes a whole snapshot, if it is newer, and returns what the VM holds then.
func (s *Spreading) Install(ctx context.Context, head brdocument.Head, snapshot *brconfig.Snapshot) (State, error) {
	return s.ask(ctx, message{installation: broption.Some(installation{head: head, snapshot: snapshot})})
}

// Confirm tells which head was the newest one at a time, as the platform or
// another VM says, and returns what the VM holds.
func (s *Spreading) Confirm(ctx context.Context, head brdocument.Head, at time.Time, platform bool) (State, error) {
	return s.ask(ctx, message{reading: broption.Some(reading{head: head, at: at, platform: platform})})
}

// Wait returns what the VM holds once its generation is above the given one,
// or after the patience.
func (s *Spreading) Wait(ctx context.Context, above uint64, patience time.Duration) (State, error) {
	return s.ask(ctx, message{above: above, waiting: patience > 0, until: s.clock.Now().Add(patience)})
}

func (s *Spreading) ask(ctx context.Context, m message) (State, error) {
	state, err := brring.Ask(ctx, s.duty.Queue(), s.states, func(reply brring.Reply[State]) message {
		m.reply = reply
		return m
	})
	if err != nil {
		return State{}, errors.Errorf("ask for configuration: %w", err)
	}
	return state, nil
}
