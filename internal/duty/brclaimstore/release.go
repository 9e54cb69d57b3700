package brclaimstore

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brclaimrow"
	"bergamotroad.example/bergamotroad/internal/model/brclaim"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

const maxReleases = 1024 // claims pending to be released

// Release queues the deletion of the claim of a request that was not executed, so that a
// retry can be executed. If the deletion fails the claim remains and later reads as
// unknown.
func (s *Store) Release(claim brclaim.Claim) error {
	if err := s.duty.Queue().SendReserved(message{claim: claim, isRelease: true}); err != nil {
		return errors.Errorf("release claim: %w", err)
	}
	return nil
}

// release cancels a pending attempt of the claim and queues the claim for deletion. If
// too many releases are pending the oldest is dropped.
func (h *handler) release(claim brclaim.Claim) {
	h.attempts = slices.DeleteFunc(h.attempts, func(a *attempt) bool {
		same := a.message.claim.Nonce() == claim.Nonce()
		if same {
			a.message.reply.Answer(ClaimResult{err: ErrClaimUnavailable{}})
		}
		return same
	})
	if len(h.releases) >= maxReleases {
		h.releases = slices.Delete(h.releases, 0, 1)
	}
	h.releases = append(h.releases, claim)
}

// writeRelease deletes the oldest claim that is pending to be released.
func (h *handler) writeRelease(ctx context.Context) {
	err := h.deleteClaim(ctx, h.releases[0])
	if err != nil {
		h.releaseDue = h.clock.Now().Add(writeBackRetryDelay)
		return
	}
	h.releases = slices.Delete(h.releases, 0, 1)
}

// deleteClaim deletes the row only at the version that it has read, because the claim of
// another attempt may replace it at any time.
func (h *handler) deleteClaim(ctx context.Context, claim brclaim.Claim) error {
	key := brclaimrow.Key(claim.ID())
	row, err := h.table.Read(ctx, key)
	if brtable.IsErrRowNotExist(err) {
		return nil
	}
	if err != nil {
		return errors.Errorf("read claim: %w", err)
	}
	record, err := brclaimrow.Decode(row.Value())
	if err != nil || !releasable(record, claim) {
		return nil
	}
	err = h.table.Commit(ctx, brtable.NewTransaction().Require(key, row.Version()).Delete(key))
	if err != nil && !brtable.IsErrPrecondition(err) {
		return errors.Errorf("delete claim: %w", err)
	}
	return nil
}

func releasable(record brclaim.Record, claim brclaim.Claim) bool {
	return record.Claim().Nonce() == claim.Nonce() && record.State() == brclaim.StateClaimed
}

// dropExpiredRecords drops records that are too old to be written, because their keys
// may soon be free for reuse.
func (h *handler) dropExpiredRecords(now time.Time) {
	h.records = slices.DeleteFunc(h.records, func(record brclaim.Record) bool {
		return now.After(record.Claim().Deadline().Add(maxRecordAge))
	})
}
