package brclaimstore

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/codec/brclaimrow"
	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/bridempotency"
	"bergamotroad.example/bergamotroad/internal/model/brclaim"
	"bergamotroad.example/bergamotroad/internal/standin/brplatform"
)

func newHandler() (*handler, *faultyTable, *brclock.Fake) {
	clock := brclock.NewFake(start)
	table := &faultyTable{Table: brplatform.NewTable(brplatform.NewFaults()), next: committed}
	return &handler{table: table, clock: clock}, table, clock
}

func claimNow(h *handler, clock *brclock.Fake, nonce string) (brclaim.Claim, *brring.Queue[ClaimResult]) {
	claim := brclaim.NewClaim("key", nonce, "same", "vm-1", clock.Now(), clock.Now().Add(time.Minute))
	replies := brring.NewQueue[ClaimResult](1)
	h.Handle(context.Background(), message{claim: claim, deadline: clock.Now().Add(3 * time.Second), reply: brring.NewReply(replies)})
	h.Tick(context.Background(), clock.Now())
	return claim, replies
}

func requireRun(t *testing.T, replies *brring.Queue[ClaimResult]) {
	result, ok := replies.TryReceive()
	require.True(t, ok)
	require.Equal(t, bridempotency.Run, result.Decision())
}

// A delayed deletion must not delete the claim of a later attempt.
func TestDelayedDeletionKeepsLaterClaim(t *testing.T) {
	ctx := context.Background()
	h, table, clock := newHandler()
	first, replies := claimNow(h, clock, "1")
	requireRun(t, replies)
	table.next = delayed
	h.Handle(ctx, message{claim: first, isRelease: true})
	h.Tick(ctx, clock.Now())
	require.Len(t, table.delayed, 1)
	clock.Advance(writeBackRetryDelay)
	h.Tick(ctx, clock.Now())
	require.Empty(t, h.releases)

	second, replies := claimNow(h, clock, "2")
	requireRun(t, replies)
	table.commitDelayed(ctx, 0)
	row, err := table.Read(ctx, brclaimrow.Key(second.ID()))
	require.NoError(t, err)
	record, err := brclaimrow.Decode(row.Value())
	require.NoError(t, err)
	require.Equal(t, "2", record.Claim().Nonce())
}

// A claim that is released before it is written must never be written.
func TestReleasedClaimIsNotWritten(t *testing.T) {
	ctx := context.Background()
	h, table, clock := newHandler()
	table.next = unavailable
	claim, replies := claimNow(h, clock, "1")
	h.Handle(ctx, message{claim: claim, isRelease: true})
	result, ok := replies.TryReceive()
	require.True(t, ok)
	require.True(t, IsErrClaimUnavailable(result.err))
	clock.Advance(time.Minute)
	for range 3 {
		h.Tick(ctx, clock.Now())
	}
	require.Zero(t, table.Commits())
	_, due := h.Due(clock.Now())
	require.False(t, due)
}

// Drain returns only after all records and releases are written to the table.
func TestDrainWaitsForRecordsAndReleases(t *testing.T) {
	ctx := context.Background()
	h, table, clock := newHandler()
	claim, _ := claimNow(h, clock, "1")
	table.next = unavailable
	h.Handle(ctx, message{record: brclaim.NewRecord(claim).WithState(brclaim.StateUnknown), isRecord: true})
	drained := brring.NewQueue[ClaimResult](1)
	h.Handle(ctx, message{isDrain: true, reply: brring.NewReply(drained)})
	h.Tick(ctx, clock.Now())
	_, ok := drained.TryReceive()
	require.False(t, ok)
	clock.Advance(writeBackRetryDelay)
	h.Tick(ctx, clock.Now())
	_, ok = drained.TryReceive()
	require.True(t, ok)
}

// A caller leaves while its claim is written. Its request does not run, so the key must be
// free for the next one.
func TestClaimOfCallerThatLeftIsReleased(t *testing.T) {
	ctx := context.Background()
	h, table, clock := newHandler()
	abandoned := brring.NewQueue[ClaimResult](1)
	abandoned.Close()
	claim := brclaim.NewClaim("key", "1", "same", "vm-1", clock.Now(), clock.Now().Add(time.Minute))
	h.Handle(ctx, message{claim: claim, deadline: clock.Now().Add(3 * time.Second), reply: brring.NewReply(abandoned)})
	h.Tick(ctx, clock.Now())
	h.Tick(ctx, clock.Now())
	require.Equal(t, 2, table.Commits(), "the claim and its release")
	_, replies := claimNow(h, clock, "2")
	requireRun(t, replies)
}

// Claimed requests end while the duty's ring is full. If their record or release were
// rejected, their keys would stay claimed.
func TestEndOfClaimIsAcceptedWhileRingIsFull(t *testing.T) {
	store := New(nil, brclock.NewFake(start))
	for err := error(nil); err == nil; {
		err = store.duty.Queue().Send(message{})
	}
	claim := brclaim.NewClaim("key", "1", "same", "vm-1", start, start.Add(time.Minute))
	require.NoError(t, store.Release(claim))
	require.NoError(t, store.QueueRecord(brclaim.NewRecord(claim)))
}
