// Package brattester provides the duty that tracks, on the VMs that are witnesses,
// the announced writes of the configuration's head.
//
// A VM announces a write of the head to the witnesses before it writes, and reports
// the end of the write to them. Other VMs ask a witness for an attestation: whether a
// write is pending, and which head the witness has.
//
// # Usage
//
//	attester := brattester.New(clock, distributor)
//	distributor.SubscribeTableReads(attester)
//	group.Start(attester.Duty())
//	accepted, err := attester.Begin(ctx, operation)
//	err = attester.End(ctx, operation, delta)
//	attestation, err := attester.Attest(ctx)
package brattester

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brwitness"
	"bergamotroad.example/bergamotroad/internal/duty/brdistributor"
)

// Configuration gives access to the configuration of this VM.
type Configuration interface {
	// State returns the VM's current state.
	State(ctx context.Context) (brdistributor.State, error)
	// Offer applies encoded deltas and returns the resulting state.
	Offer(ctx context.Context, deltas [][]byte) (brdistributor.State, error)
}

// Attestation is a witness's statement on pending writes and its head. It is
// immutable.
type Attestation struct {
	quiet bool
	head  brdocument.Head
}

// NewAttestation returns the attestation of a witness that has the given head. If
// quiet is true, the witness attests that no write newer than this head was announced
// to it.
func NewAttestation(quiet bool, head brdocument.Head) Attestation {
	return Attestation{quiet: quiet, head: head}
}

// Quiet reports whether the witness has run long enough, and has no pending write,
// so that it can attest that no write newer than its head was announced to it.
func (a Attestation) Quiet() bool { return a.quiet }

// Head returns the head that the witness has.
func (a Attestation) Head() brdocument.Head { return a.head }

// witnessQuery is an operation on the witness. It runs on the duty's goroutine.
type witnessQuery func(witness *brwitness.Witness, now time.Time) bool

type message struct {
	query witnessQuery
	reply brring.Reply[bool]
}

// Attester is the handle of the duty; its methods may be called from any goroutine.
type Attester struct {
	configuration Configuration
	duty          *brduty.Duty[message, struct{}]
	replies       *brring.ReplyPool[bool]
}

// New returns the duty. Accepted deltas are offered to configuration.
func New(clock brclock.Clock, configuration Configuration) *Attester {
	h := &handler{clock: clock, witness: brwitness.NewWitness(clock.Now())}
	return &Attester{
		configuration: configuration,
		duty:          brduty.New[message, struct{}]("witnessing", h, clock, brduty.WithoutTicks()),
		replies:       brring.NewReplyPool[bool](),
	}
}

// Duty returns the runner to be passed to a brduty.Group.
func (a *Attester) Duty() brduty.Runner { return a.duty }

// Begin registers the announcement of a write. If it returns false, too many writes
// are pending and the write must not be made.
func (a *Attester) Begin(ctx context.Context, operation string) (bool, error) {
	return a.query(ctx, func(witness *brwitness.Witness, now time.Time) bool {
		return witness.Begin(operation, now)
	})
}

// End marks an announced write as ended and applies its delta, if one was accepted.
// If the delta cannot be applied, the write stays pending.
func (a *Attester) End(ctx context.Context, operation string, delta []byte) error {
	if len(delta) > 0 {
		if err := a.applyDelta(ctx, delta); err != nil {
			return err
		}
	}
	_, err := a.query(ctx, func(witness *brwitness.Witness, _ time.Time) bool {
		witness.End(operation)
		return true
	})
	return err
}

// Attest returns the attestation of this witness.
func (a *Attester) Attest(ctx context.Context) (Attestation, error) {
	quiet, err := a.query(ctx, func(witness *brwitness.Witness, _ time.Time) bool { return witness.CanAttest() })
	if err != nil {
		return Attestation{}, err
	}
	state, err := a.configuration.State(ctx)
	if err != nil {
		return Attestation{}, errors.Errorf("read local head: %w", err)
	}
	return NewAttestation(quiet, state.Head()), nil
}

// Confirm reports a time at which the platform's table held this VM's head.
func (a *Attester) Confirm(at time.Time) {
	_ = a.duty.Queue().Send(message{query: func(witness *brwitness.Witness, _ time.Time) bool {
		witness.RecordTableRead(at)
		return true
	}})
}

func (a *Attester) applyDelta(ctx context.Context, delta []byte) error {
	decoded, err := brdocument.DecodeDelta(delta)
	if err != nil {
		return errors.Errorf("decode accepted delta: %w", err)
	}
	state, err := a.configuration.Offer(ctx, [][]byte{delta})
	if err != nil {
		return errors.Errorf("apply accepted delta: %w", err)
	}
	if state.Head().Generation() < decoded.Generation() {
		return errors.Errorf("delta of generation %d not applied at generation %d", decoded.Generation(), state.Head().Generation())
	}
	return nil
}

func (a *Attester) query(ctx context.Context, q witnessQuery) (bool, error) {
	answer, err := brring.Ask(ctx, a.duty.Queue(), a.replies, func(reply brring.Reply[bool]) message {
		return message{query: q, reply: reply}
	})
	if err != nil {
		return false, errors.Errorf("query witness duty: %w", err)
	}
	return answer, nil
}

type handler struct {
	clock   brclock.Clock
	witness *brwitness.Witness
}

// Handle runs an operation on the witness and answers with its result.
func (h *handler) Handle(_ context.Context, m message) {
	answer := m.query(h.witness, h.clock.Now())
	if m.reply.IsExpected() {
		m.reply.Answer(answer)
	}
}

// Update does nothing: this duty uses no snapshots.
func (*handler) Update(context.Context, struct{}) {}

// Tick does nothing: this duty has no periodic work.
func (*handler) Tick(context.Context, time.Time) {}
