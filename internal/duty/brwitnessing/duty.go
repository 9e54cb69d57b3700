// Package brwitnessing provides the duty that remembers announced writes of
// the configuration's head, on the VMs that are witnesses.
//
// # Usage
//
//	witnessing := brwitnessing.New(clock, spreading)
//	spreading.SubscribeTableRead(witnessing)
//	group.Start(witnessing.Duty())
//	taken, err := witnessing.Begin(ctx, operation)
//	err = witnessing.End(ctx, operation, delta)
//	attestation, err := witnessing.Attest(ctx)
package brwitnessing

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brwitness"
	"bergamotroad.example/bergamotroad/internal/duty/brspreading"
)

// Spreading holds the configuration of this VM.
type Spreading interface {
	// State returns what the VM holds.
	State(ctx context.Context) (brspreading.State, error)
	// Offer applies encoded deltas and returns what the VM holds then.
	Offer(ctx context.Context, deltas [][]byte) (brspreading.State, error)
}

// Attestation is what a witness says.
type Attestation struct {
	quiet bool
	head  brdocument.Head
}

// NewAttestation returns what a witness with a head says: whether no announced
// write is open.
func NewAttestation(quiet bool, head brdocument.Head) Attestation {
	return Attestation{quiet: quiet, head: head}
}

// Quiet reports whether no announced write is open.
func (a Attestation) Quiet() bool { return a.quiet }

// Head returns the head that the witness holds.
func (a Attestation) Head() brdocument.Head { return a.head }

// question is what a message asks of the witness.
type question func(witness *brwitness.Witness, now time.Time) bool

type message struct {
	ask   question
	reply brring.Reply[bool]
}

// Witnessing is the duty with the calls that reach it.
type Witnessing struct {
	spreading Spreading
	duty      *brduty.Duty[message, struct{}]
	answers   *brring.ReplyPool[bool]
}

// New returns the duty.
func New(clock brclock.Clock, spreading Spreading) *Witnessing {
	h := &handler{clock: clock, witness: brwitness.NewWitness(clock.Now())}
	return &Witnessing{
		spreading: spreading,
		duty:      brduty.New[message, struct{}]("witnessing", h, clock, brduty.WithoutTicks()),
		answers:   brring.NewReplyPool[bool](),
	}
}

// Duty returns the duty to be started.
func (w *Witnessing) Duty() brduty.Runner { return w.duty }

// Begin takes the announcement of a write and reports whether it was taken.
func (w *Witnessing) Begin(ctx context.Context, operation string) (bool, error) {
	return w.ask(ctx, func(witness *brwitness.Witness, now time.Time) bool {
		return witness.Begin(operation, now)
	})
}

// End takes the end of an announced write with the delta that was accepted, or
// none. A witness that can't take the delta over keeps the write open.
func (w *Witnessing) End(ctx context.Context, operation string, delta []byte) error {
	if len(delta) > 0 {
		if err := w.takeOver(ctx, delta); err != nil {
			return err
		}
	}
	_, err := w.ask(ctx, func(witness *brwitness.Witness, _ time.Time) bool {
		witness.End(operation)
		return true
	})
	return err
}

// Attest returns what this witness says.
func (w *Witnessing) Attest(ctx context.Context) (Attestation, error) {
	quiet, err := w.ask(ctx, func(witness *brwitness.Witness, _ time.Time) bool { return witness.Quiet() })
	if err != nil {
		return Attestation{}, err
	}
	state, err := w.spreading.State(ctx)
	if err != nil {
		return Attestation{}, errors.Errorf("read own head: %w", err)
	}
	return NewAttestation(quiet, state.Head()), nil
}

// Confirm takes a moment at which the table held this VM's head.
func (w *Witnessing) Confirm(at time.Time) {
	_ = w.duty.Queue().Send(message{ask: func(witness *brwitness.Witness, _ time.Time) bool {
		witness.TableRead(at)
		return true
	}})
}

func (w *Witnessing) takeOver(ctx context.Context, delta []byte) error {
	decoded, err := brdocument.DecodeDelta(delta)
	if err != nil {
		return errors.Errorf("read accepted delta: %w", err)
	}
	state, err := w.spreading.Offer(ctx, [][]byte{delta})
	if err != nil {
		return errors.Errorf("take accepted delta over: %w", err)
	}
	if state.Head().Generation() < decoded.Generation() {
		return errors.Errorf("generation %d does not follow %d", decoded.Generation(), state.Head().Generation())
	}
	return nil
}

func (w *Witnessing) ask(ctx context.Context, q question) (bool, error) {
	answer, err := brring.Ask(ctx, w.duty.Queue(), w.answers, func(reply brring.Reply[bool]) message {
		return message{ask: q, reply: reply}
	})
	if err != nil {
		return false, errors.Errorf("ask witness: %w", err)
	}
	return answer, nil
}

type handler struct {
	clock   brclock.Clock
	witness *brwitness.Witness
}

// Handle asks the witness.
func (h *handler) Handle(_ context.Context, m message) {
	answer := m.ask(h.witness, h.clock.Now())
	if m.reply.Expected() {
		m.reply.Answer(answer)
	}
}

// Update does nothing: the witness depends on no snapshot.
func (*handler) Update(context.Context, struct{}) {}

// Tick does nothing.
func (*handler) Tick(context.Context, time.Time) {}
