package brtenancy

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/decide/brshare"
	"bergamotroad.example/bergamotroad/internal/model/brdivision"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

// visit is the state read from the table.
type visit struct {
	asked           time.Time
	row             brdivision.Row
	version         int64
	division        brdivision.Division
	divisionVersion int64
}

// visit renews and acquires slots, and reports whether the process holds a floor. It is
// repeated after conflicting writes by other VMs.
func (h *handler) visit(ctx context.Context) (bool, error) {
	var err error
	for range maxAttempts {
		err = h.attempt(ctx)
		if !brtable.IsErrPrecondition(err) {
			break
		}
	}
	if err != nil {
		return false, errors.Errorf("update capacity row: %w", err)
	}
	return h.tenancy.Floored(), nil
}

func (h *handler) attempt(ctx context.Context) error {
	v, err := h.read(ctx)
	if err != nil {
		return err
	}
	now := h.clock.Now()
	h.tenancy.Observe(v.row, now)
	layout := brshare.NewLayout(v.division, h.domain, h.roster.Target(), h.roster.VMs())
	next, changed := h.tenancy.Next(v.row, layout, h.roster.Candidate(), now)
	if !changed {
		return nil
	}
	if err := h.commit(ctx, v, next); err != nil {
		return err
	}
	if err := h.accounts.Grant(h.tenancy.Committed(v.row, next, v.asked)); err != nil {
		return errors.Errorf("grant capacity to admission: %w", err)
	}
	return nil
}

// read reads the division before the row, because the parts of an existing row are
// always recorded in the division.
func (h *handler) read(ctx context.Context) (visit, error) {
	v := visit{asked: h.clock.Now()}
	division, err := h.table.Read(ctx, brdocument.DivisionKey)
	if err != nil && !brtable.IsErrRowNotExist(err) {
		return v, errors.Errorf("read division: %w", err)
	}
	if err == nil {
		v.divisionVersion = division.Version()
		if v.division, err = brdocument.DecodeDivision(division.Value()); err != nil {
			return v, err
		}
	}
	row, err := h.table.Read(ctx, brdocument.SharesKey(h.domain))
	if brtable.IsErrRowNotExist(err) {
		return v, nil
	}
	if err != nil {
		return v, errors.Errorf("read capacity row: %w", err)
	}
	v.version = row.Version()
	if v.row, err = brdocument.DecodeShares(row.Value()); err != nil {
		return v, err
	}
	return v, nil
}

// commit writes the row, and the division if the parts of the failure domain change.
func (h *handler) commit(ctx context.Context, v visit, next brdivision.Row) error {
	key := brdocument.SharesKey(h.domain)
	value, err := brdocument.EncodeShares(next)
	if err != nil {
		return err
	}
	transaction := brtable.NewTransaction().Require(key, v.version).Put(key, value)
	if next.Parts() != v.row.Parts() {
		division, err := v.division.With(h.domain, next.Parts())
		if err != nil {
			return errors.Errorf("divide capacity among failure domains: %w", err)
		}
		data, err := brdocument.EncodeDivision(division)
		if err != nil {
			return err
		}
		transaction = transaction.
			Require(brdocument.DivisionKey, v.divisionVersion).
			Put(brdocument.DivisionKey, data)
	}
	if err := h.table.Commit(ctx, transaction); err != nil {
		return errors.Errorf("write capacity row: %w", err)
	}
	return nil
}
