// Package brspreading provides the duty that holds the configuration of a VM.
//
// It takes deltas from whoever has them (the poller, other VMs, an operator's
// change made here), applies those that follow its generation and never goes
// back. It hands each new snapshot to its subscribers' rings and gives deltas
// and generation to other VMs.
//
// # Usage
//
//	spreading := brspreading.New(clock, timeline)
//	spreading.Subscribe(admission.Snapshots())
//	group.Start(spreading.Duty())
//	generation, err := spreading.Offer(ctx, deltas)
package brspreading

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

const (
	queueCapacity = 1024 // messages
	tickPeriod    = 100 * time.Millisecond
	maxWaiters    = 4096
)

// State is what a VM holds of the configuration. It is immutable.
type State struct {
	head     brdocument.Head
	snapshot *brconfig.Snapshot
	deltas   [][]byte
}

// Head returns the head that leads to the snapshot.
func (s State) Head() brdocument.Head { return s.head }

// Snapshot returns the configuration.
func (s State) Snapshot() *brconfig.Snapshot { return s.snapshot }

// DeltasAfter returns the encoded deltas that follow a generation, oldest first.
func (s State) DeltasAfter(generation uint64) [][]byte {
	if generation >= uint64(len(s.deltas)) {
		return nil
	}
	return s.deltas[generation:]
}

type message struct {
	deltas  [][]byte
	above   uint64
	waiting bool
	until   time.Time
	reply   brring.Reply[State]
}

// Spreading is the duty with the calls that reach it.
type Spreading struct {
	clock   brclock.Clock
	duty    *brduty.Duty[message, struct{}]
	handler *handler
	states  *brring.ReplyPool[State]
}

// New returns the duty with the empty configuration.
func New(clock brclock.Clock, events brevent.Recorder) *Spreading {
	h := &handler{events: events, state: State{snapshot: brconfig.NewSnapshot()}}
	return &Spreading{
		clock:   clock,
		duty:    brduty.New[message, struct{}]("spreading", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithPeriod(tickPeriod)),
		handler: h,
		states:  brring.NewReplyPool[State](),
	}
}

// Duty returns the duty to be started.
func (s *Spreading) Duty() brduty.Runner { return s.duty }

// Subscribe sends every later snapshot to a ring. It is called before the duty starts.
func (s *Spreading) Subscribe(ring *brring.Latest[*brconfig.Snapshot]) {
	s.handler.subscribers = append(s.handler.subscribers, ring)
}

// State returns what the VM holds.
func (s *Spreading) State(ctx context.Context) (State, error) {
	return s.ask(ctx, message{})
}

// Offer applies encoded deltas, oldest first, and returns what the VM holds
// then. Deltas that do not follow its generation are left out.
func (s *Spreading) Offer(ctx context.Context, deltas [][]byte) (State, error) {
	return s.ask(ctx, message{deltas: deltas})
}

// Wait returns what the VM holds once its generation is above the given one,
// or after the patience.
func (s *Spreading) Wait(ctx context.Context, above uint64, patience time.Duration) (State, error) {
	return s.ask(ctx, message{above: above, waiting: true, until: s.clock.Now().Add(patience)})
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

type handler struct {
	events      brevent.Recorder
	subscribers []*brring.Latest[*brconfig.Snapshot]
	state       State
	waiters     []message
}

// Handle takes deltas, a question or a wait.
func (h *handler) Handle(_ context.Context, m message) {
	for _, data := range m.deltas {
		if !h.apply(data) {
			break
		}
	}
	if len(m.deltas) > 0 {
		h.answerWaiters(time.Time{})
	}
	if m.waiting && h.state.head.Generation() <= m.above && len(h.waiters) < maxWaiters {
		h.waiters = append(h.waiters, m)
		return
	}
	m.reply.Answer(h.state)
}

// Update does nothing: the duty is where snapshots come from.
func (*handler) Update(context.Context, struct{}) {}

// Tick answers those who have waited long enough.
func (h *handler) Tick(_ context.Context, now time.Time) {
	h.answerWaiters(now)
}

// apply reports whether deltas after this one can follow.
func (h *handler) apply(data []byte) bool {
	delta, err := brdocument.DecodeDelta(data)
	if err != nil {
		return false
	}
	if delta.Generation() <= h.state.head.Generation() {
		return true
	}
	if delta.Previous() != h.state.head {
		return false
	}
	snapshot, err := h.state.snapshot.Apply(delta.Generation(), delta.Changes())
	if err != nil {
		return false
	}
	h.state = State{
		head:     brdocument.NewHead(delta.Generation(), delta.Operation(), data),
		snapshot: snapshot,
		deltas:   append(h.state.deltas[:len(h.state.deltas):len(h.state.deltas)], data),
	}
	h.publish()
	return true
}

func (h *handler) publish() {
	for _, ring := range h.subscribers {
		_ = ring.Send(h.state.snapshot)
	}
	generation := strconv.FormatUint(h.state.head.Generation(), 10)
	h.events.Record(brevent.New(brevent.KindConfigurationUsed).WithDetail("generation", generation))
}

func (h *handler) answerWaiters(now time.Time) {
	h.waiters = slices.DeleteFunc(h.waiters, func(m message) bool {
		done := h.state.head.Generation() > m.above || (!now.IsZero() && !now.Before(m.until))
		if done {
			m.reply.Answer(h.state)
		}
		return done
	})
}
