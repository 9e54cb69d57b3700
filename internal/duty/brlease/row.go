package brlease

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/decide/brshare"
	"bergamotroad.example/bergamotroad/internal/model/brallocation"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

// tableState is the state read from the table.
type tableState struct {
	// readStart is taken before the read; leases count from it.
	readStart         time.Time
	row               brallocation.Row
	version           int64
	allocation        brallocation.Allocation
	allocationVersion int64
}

// updateRow renews and acquires slots, and reports whether the process holds a floor. It is
// repeated after conflicting writes by other VMs.
func (h *handler) updateRow(ctx context.Context) (bool, error) {
	var err error
	for range maxAttempts {
		err = h.tryUpdateRow(ctx)
		if !brtable.IsErrPrecondition(err) {
			break
		}
	}
	if err != nil {
		return false, errors.Errorf("update capacity row: %w", err)
	}
	return h.slots.HasFloor(), nil
}

func (h *handler) tryUpdateRow(ctx context.Context) error {
	state, err := h.read(ctx)
	if err != nil {
		return err
	}
	now := h.clock.Now()
	h.slots.Observe(state.row, now)
	layout := brshare.NewLayout(state.allocation, h.domain, h.domainView.Target(), h.domainView.VMs())
	next, changed := h.slots.NextRow(state.row, layout, h.domainView.PoolCandidate(), now)
	if !changed {
		return nil
	}
	if err := h.commit(ctx, state, next); err != nil {
		return err
	}
	if err := h.accounts.Grant(h.slots.RecordWrite(state.row, next, state.readStart)); err != nil {
		return errors.Errorf("grant capacity to admission: %w", err)
	}
	return nil
}

// read reads the allocation before the row, because the parts of an existing row are
// always recorded in the allocation.
func (h *handler) read(ctx context.Context) (tableState, error) {
	state := tableState{readStart: h.clock.Now()}
	allocation, err := h.table.Read(ctx, brdocument.AllocationKey)
	if err != nil && !brtable.IsErrRowNotExist(err) {
		return state, errors.Errorf("read allocation: %w", err)
	}
	if err == nil {
		state.allocationVersion = allocation.Version()
		if state.allocation, err = brdocument.DecodeAllocation(allocation.Value()); err != nil {
			return state, err
		}
	}
	row, err := h.table.Read(ctx, brdocument.SharesKey(h.domain))
	if brtable.IsErrRowNotExist(err) {
		return state, nil
	}
	if err != nil {
		return state, errors.Errorf("read capacity row: %w", err)
	}
	state.version = row.Version()
	if state.row, err = brdocument.DecodeShares(row.Value()); err != nil {
		return state, err
	}
	return state, nil
}

// commit writes the row, and the allocation if the parts of the failure domain change.
func (h *handler) commit(ctx context.Context, state tableState, next brallocation.Row) error {
	key := brdocument.SharesKey(h.domain)
	value, err := brdocument.EncodeShares(next)
	if err != nil {
		return err
	}
	transaction := brtable.NewTransaction().Require(key, state.version).Put(key, value)
	if next.Parts() != state.row.Parts() {
		allocation, err := state.allocation.With(h.domain, next.Parts())
		if err != nil {
			return errors.Errorf("allocate capacity to failure domain: %w", err)
		}
		data, err := brdocument.EncodeAllocation(allocation)
		if err != nil {
			return err
		}
		transaction = transaction.
			Require(brdocument.AllocationKey, state.allocationVersion).
			Put(brdocument.AllocationKey, data)
	}
	if err := h.table.Commit(ctx, transaction); err != nil {
		return errors.Errorf("write capacity row: %w", err)
	}
	return nil
}
