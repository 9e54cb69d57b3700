package brclaimstore

import (
	"context"
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/codec/brclaimrow"
	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/bridempotency"
	"bergamotroad.example/bergamotroad/internal/model/brclaim"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

const (
	maxBatch            = 64   // rows per transaction
	maxRecords          = 4096 // records pending to be written
	retryDelay          = 50 * time.Millisecond
	writeBackRetryDelay = time.Second
	// maxRecordAge is shorter than the retention of claims, so that a late record does not
	// overwrite a newer claim of the same key.
	maxRecordAge = bridempotency.Retention / 2
)

// step is the next call to the table that a claim needs.
type step int

const (
	stepWrite step = iota
	stepRead
)

// attempt is a claim in progress.
type attempt struct {
	message message
	step    step
	due     time.Time
}

// handler makes at most one call to the table per tick, so that the queue is served
// between calls.
type handler struct {
	table      brtable.Table
	clock      brclock.Clock
	attempts   []*attempt
	records    []brclaim.Record
	recordsDue time.Time
	releases   []brclaim.Claim
	releaseDue time.Time
	drains     []brring.Reply[ClaimResult]
}

// Handle accepts a claim, a record, a release or a drain request.
func (h *handler) Handle(_ context.Context, m message) {
	if m.isRecord {
		h.queueRecord(m.record)
		return
	}
	if m.isDrain {
		h.drains = append(h.drains, m.reply)
		h.answerDrains()
		return
	}
	if m.isRelease {
		h.release(m.claim)
		return
	}
	h.attempts = append(h.attempts, &attempt{message: m})
}

// Update does nothing: claims do not depend on the configuration.
func (*handler) Update(context.Context, struct{}) {}

// Tick makes one call to the table, if one is due.
func (h *handler) Tick(ctx context.Context, now time.Time) {
	defer h.answerDrains()
	h.expireAttempts(now)
	h.dropExpiredRecords(now)
	if a := h.dueRead(now); a != nil {
		h.read(ctx, a)
		return
	}
	if batch := h.dueWrites(now); len(batch) > 0 {
		h.write(ctx, batch)
		return
	}
	if len(h.records) > 0 && !now.Before(h.recordsDue) {
		h.writeRecords(ctx)
		return
	}
	if len(h.releases) > 0 && !now.Before(h.releaseDue) {
		h.writeRelease(ctx)
	}
}

// Due returns the time until the next call to the table.
func (h *handler) Due(now time.Time) (time.Duration, bool) {
	if len(h.attempts) == 0 && len(h.records) == 0 && len(h.releases) == 0 {
		return 0, false
	}
	due := now.Add(time.Hour)
	for _, a := range h.attempts {
		due = earlier(due, a.due)
		due = earlier(due, a.message.deadline)
	}
	if len(h.records) > 0 {
		due = earlier(due, h.recordsDue)
	}
	if len(h.releases) > 0 {
		due = earlier(due, h.releaseDue)
	}
	return due.Sub(now), true
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// queueRecord queues a record to be written. If too many are pending the oldest is dropped, and
// its claim reads as unknown later.
func (h *handler) queueRecord(record brclaim.Record) {
	if len(h.records) >= maxRecords {
		h.records = slices.Delete(h.records, 0, 1)
	}
	h.records = append(h.records, record)
}

// expireAttempts fails the claims that have timed out.
func (h *handler) expireAttempts(now time.Time) {
	h.attempts = slices.DeleteFunc(h.attempts, func(a *attempt) bool {
		expired := !now.Before(a.message.deadline)
		if expired {
			a.message.reply.Answer(ClaimResult{err: ErrClaimUnavailable{}})
		}
		return expired
	})
}

func (h *handler) dueRead(now time.Time) *attempt {
	for _, a := range h.attempts {
		if a.step == stepRead && !now.Before(a.due) {
			return a
		}
	}
	return nil
}

// dueWrites returns the claims of the next transaction, at most one per row.
func (h *handler) dueWrites(now time.Time) []*attempt {
	batch := []*attempt{}
	for _, a := range h.attempts {
		same := func(other *attempt) bool { return other.message.claim.ID() == a.message.claim.ID() }
		if a.step != stepWrite || now.Before(a.due) || slices.ContainsFunc(batch, same) {
			continue
		}
		batch = append(batch, a)
		if len(batch) == maxBatch {
			break
		}
	}
	return batch
}

func (h *handler) write(ctx context.Context, batch []*attempt) {
	transaction := brtable.NewTransaction()
	for _, a := range batch {
		row, err := brclaimrow.Encode(brclaim.NewRecord(a.message.claim))
		if err != nil {
			h.settle(a, ClaimResult{err: err})
			return
		}
		key := brclaimrow.Key(a.message.claim.ID())
		transaction = transaction.Require(key, 0).Put(key, row)
	}
	err := h.table.Commit(ctx, transaction)
	for _, a := range batch {
		switch {
		case err == nil:
			h.settle(a, ClaimResult{decision: bridempotency.Run, record: brclaim.NewRecord(a.message.claim)})
		case brtable.IsErrUnavailable(err):
			a.due = h.clock.Now().Add(retryDelay)
		default:
			// The row already exists or the outcome is unknown: read which claim it holds.
			a.step = stepRead
		}
	}
}

// read checks which claim the row holds. If the row does not exist the claim is written
// again. That is safe if the first write takes effect late, because it carries the same
// nonce.
func (h *handler) read(ctx context.Context, a *attempt) {
	row, err := h.table.Read(ctx, brclaimrow.Key(a.message.claim.ID()))
	if brtable.IsErrRowNotExist(err) {
		a.step = stepWrite
		return
	}
	if err != nil {
		a.due = h.clock.Now().Add(retryDelay)
		return
	}
	record, err := brclaimrow.Decode(row.Value())
	if err != nil {
		h.settle(a, ClaimResult{err: err})
		return
	}
	decision := bridempotency.Decide(record, a.message.claim, h.clock.Now())
	h.settle(a, ClaimResult{decision: decision, record: record})
}

// settle answers an attempt. If the caller has not received that it holds the key, its request
// doesn't run, and the claim is released.
func (h *handler) settle(a *attempt, result ClaimResult) {
	received := a.message.reply.Answer(result)
	h.attempts = slices.DeleteFunc(h.attempts, func(other *attempt) bool { return other == a })
	if !received && result.err == nil && result.decision == bridempotency.Run {
		h.release(a.message.claim)
	}
}

// writeRecords writes the oldest records. Only the VM that holds a claim writes its
// record, so that repeating the write is idempotent.
func (h *handler) writeRecords(ctx context.Context) {
	batch := h.records[:min(len(h.records), maxBatch)]
	transaction := brtable.NewTransaction()
	for _, record := range batch {
		row, err := brclaimrow.Encode(record)
		if err == nil {
			transaction = transaction.Put(brclaimrow.Key(record.Claim().ID()), row)
		}
	}
	if err := h.table.Commit(ctx, transaction); err != nil {
		h.recordsDue = h.clock.Now().Add(writeBackRetryDelay)
		return
	}
	h.records = slices.Delete(h.records, 0, len(batch))
}
