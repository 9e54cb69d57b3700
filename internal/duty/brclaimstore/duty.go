// Package brclaimstore provides the duty that claims the Idempotency-Key of a request in
// the platform's table before the request is executed.
//
// Claims that arrive while a call to the table is in progress are written in one batch
// afterwards. A claim succeeds only if the row in the table carries its nonce:
//
//   - A write that is accepted makes the claim succeed.
//   - After a write whose precondition failed, the row is read to find out which claim
//     it holds.
//   - After a write whose outcome is unknown, the row is read as well: the write may
//     have taken effect, or may do so later, and the row then carries the same nonce.
//
// If the table does not respond before the claim times out, the request is not executed.
// If the write takes effect nevertheless, it leaves a claim without an execution, which
// reads as in progress and later as unknown, never as free.
//
// # Usage
//
//	store := brclaimstore.New(table, clock)
//	group.Start(store.Duty())
//	result, err := store.Claim(ctx, claim, timeout)
//	if result.Decision() == bridempotency.Run {
//		// execute the request, then
//		err = store.QueueRecord(brclaim.NewRecord(claim).WithResponse(response))
//		// or, if it was not executed,
//		err = store.Release(claim)
//	}
package brclaimstore

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/bridempotency"
	"bergamotroad.example/bergamotroad/internal/model/brclaim"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

const (
	queueCapacity = 2048 // claims
	// queueReserve is for records and releases. Without the one that ends its claim, a key
	// stays claimed until its deadline, and its outcome reads as unknown after that.
	queueReserve = 2048 // messages
)

// ErrClaimUnavailable means that the table did not confirm or reject a claim in time.
// The request must not be executed.
type ErrClaimUnavailable struct{}

// Error implements the error interface.
func (ErrClaimUnavailable) Error() string { return "table did not respond to the claim in time" }

// IsErrClaimUnavailable reports whether err is or wraps ErrClaimUnavailable.
func IsErrClaimUnavailable(err error) bool {
	_, ok := errors.Into[ErrClaimUnavailable](err)
	return ok
}

// ClaimResult is the result of a claim: how the request must be handled, and the record that
// the table holds for its key.
type ClaimResult struct {
	decision bridempotency.Decision
	record   brclaim.Record
	err      error
}

// Decision returns how the request must be handled.
func (r ClaimResult) Decision() bridempotency.Decision { return r.decision }

// Record returns the record that the table holds for the key.
func (r ClaimResult) Record() brclaim.Record { return r.record }

// message is a claim, a record to write, a release or a drain request.
type message struct {
	claim     brclaim.Claim
	deadline  time.Time
	reply     brring.Reply[ClaimResult]
	record    brclaim.Record
	isRecord  bool
	isRelease bool
	isDrain   bool
}

// Store is the duty that writes idempotency claims and its API.
type Store struct {
	clock   brclock.Clock
	duty    *brduty.Duty[message, struct{}]
	results *brring.ReplyPool[ClaimResult]
}

// New creates the duty for the platform's table without starting it.
func New(table brtable.Table, clock brclock.Clock) *Store {
	h := &handler{table: table, clock: clock}
	return &Store{
		clock:   clock,
		duty:    brduty.New[message, struct{}]("claiming", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithReserve(queueReserve)),
		results: brring.NewReplyPool[ClaimResult](),
	}
}

// Duty returns the duty to start.
func (s *Store) Duty() brduty.Runner { return s.duty }

// Claim claims the key of a request and returns how the request must be handled. It
// returns ErrClaimUnavailable if the table does not respond within the timeout.
func (s *Store) Claim(ctx context.Context, claim brclaim.Claim, timeout time.Duration) (ClaimResult, error) {
	deadline := s.clock.Now().Add(timeout)
	result, err := brring.Ask(ctx, s.duty.Queue(), s.results, func(reply brring.Reply[ClaimResult]) message {
		return message{claim: claim, deadline: deadline, reply: reply}
	})
	if err == nil {
		err = result.err
	}
	if err != nil {
		return ClaimResult{}, errors.Errorf("claim idempotency key: %w", err)
	}
	return result, nil
}

// QueueRecord queues the record of a finished attempt to be written to the table. It returns an
// error if the queue is full; the claim then reads as unknown later.
func (s *Store) QueueRecord(record brclaim.Record) error {
	if err := s.duty.Queue().SendReserved(message{record: record, isRecord: true}); err != nil {
		return errors.Errorf("queue record of claim: %w", err)
	}
	return nil
}
