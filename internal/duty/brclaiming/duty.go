// Package brclaiming provides the duty that claims requests with an
// Idempotency-Key in the platform's table before they run.
//
// Claims that arrive while the table is busy are written together: many claims
// to a write. A claim is won only where the table's row carries its nonce:
//
//   - a write that was accepted wins,
//   - a write whose precondition failed is followed by a read, which shows whose
//     claim is kept,
//   - a write whose outcome is unknown is followed by the same: it may have taken
//     effect, or do so later, and then carries the same nonce.
//
// Where the table gives no word before a claim's patience is over, the request
// does not run; a write that takes effect after all leaves a claim that nobody
// runs, which reads as in progress and later as unknown, never as free.
//
// # Usage
//
//	claiming := brclaiming.New(table, clock)
//	group.Start(claiming.Duty())
//	ruling, err := claiming.Claim(ctx, claim, patience)
//	if ruling.Judgement() == bridempotent.Run {
//		// run it, then
//		claiming.Keep(brclaim.NewRecord(claim).WithAnswer(answer))
//		// or, where it did not run,
//		claiming.Release(claim)
//	}
package brclaiming

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/bridempotent"
	"bergamotroad.example/bergamotroad/internal/model/brclaim"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

const queueCapacity = 2048 // claims and records

// ErrClaimUnavailable says that the table gave no word in time. The request
// must not run.
type ErrClaimUnavailable struct{}

// Error returns the message.
func (ErrClaimUnavailable) Error() string { return "table gives no word on the claim" }

// IsErrClaimUnavailable reports whether err is or wraps ErrClaimUnavailable.
func IsErrClaimUnavailable(err error) bool {
	_, ok := errors.Into[ErrClaimUnavailable](err)
	return ok
}

// Ruling says what becomes of a request, with what the table keeps of its key.
type Ruling struct {
	judgement bridempotent.Judgement
	record    brclaim.Record
	err       error
}

// Judgement returns what becomes of the request.
func (r Ruling) Judgement() bridempotent.Judgement { return r.judgement }

// Record returns what the table keeps of the key.
func (r Ruling) Record() brclaim.Record { return r.record }

// message is a claim, or a record to be kept.
type message struct {
	claim    brclaim.Claim
	until    time.Time
	reply    brring.Reply[Ruling]
	record   brclaim.Record
	keeps    bool
	releases bool
	drains   bool
}

// Claiming is the duty with the calls that reach it.
type Claiming struct {
	clock   brclock.Clock
	duty    *brduty.Duty[message, struct{}]
	rulings *brring.ReplyPool[Ruling]
}

// New returns the duty over the platform's table.
func New(table brtable.Table, clock brclock.Clock) *Claiming {
	h := &handler{table: table, clock: clock}
	return &Claiming{
		clock:   clock,
		duty:    brduty.New[message, struct{}]("claiming", h, clock, brduty.WithCapacity(queueCapacity)),
		rulings: brring.NewReplyPool[Ruling](),
	}
}

// Duty returns the duty to be started.
func (c *Claiming) Duty() brduty.Runner { return c.duty }

// Claim claims a request and returns what becomes of it. It returns
// ErrClaimUnavailable where the table gives no word within the patience.
func (c *Claiming) Claim(ctx context.Context, claim brclaim.Claim, patience time.Duration) (Ruling, error) {
	until := c.clock.Now().Add(patience)
	ruling, err := brring.Ask(ctx, c.duty.Queue(), c.rulings, func(reply brring.Reply[Ruling]) message {
		return message{claim: claim, until: until, reply: reply}
	})
	if err == nil {
		err = ruling.err
	}
	if err != nil {
		return Ruling{}, errors.Errorf("claim request: %w", err)
	}
	return ruling, nil
}

// Keep writes the record of an attempt that has ended, as soon as the table
// takes it. It returns an error where too many records wait; the claim then
// reads as unknown.
func (c *Claiming) Keep(record brclaim.Record) error {
	if err := c.duty.Queue().Send(message{record: record, keeps: true}); err != nil {
		return errors.Errorf("keep record of claim: %w", err)
	}
	return nil
}
