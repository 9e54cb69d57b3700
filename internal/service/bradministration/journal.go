package bradministration

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

// maxExpectedLag is the maximum distance from an expected generation to the
// current one, in generations.
const maxExpectedLag = 10 * brdocument.JournalPageSize

// Operation returns the entry of an accepted operation, or ErrOperationNotExist
// with the generation up to which that result is final.
func (a *Administration) Operation(ctx context.Context, id string) (brdocument.Entry, error) {
	// The head is read before the row: an operation that would have created a
	// generation up to the head and has no row by now never gets one.
	_, head, err := a.readHead(ctx)
	if err != nil {
		return brdocument.Entry{}, ErrUnavailable{cause: err}
	}
	entry, err := a.readOperation(ctx, id)
	if brtable.IsErrRowNotExist(err) {
		return brdocument.Entry{}, ErrOperationNotExist{operation: id, generation: head.Generation()}
	}
	if err != nil {
		return brdocument.Entry{}, ErrUnavailable{cause: err}
	}
	return entry, nil
}

func (a *Administration) readOperation(ctx context.Context, id string) (brdocument.Entry, error) {
	return a.readEntry(ctx, brdocument.OperationKey(id))
}

// Entry returns the journal entry of a generation, or ErrGenerationNotExist.
func (a *Administration) Entry(ctx context.Context, generation uint64) (brdocument.Entry, error) {
	entry, err := a.readEntry(ctx, brdocument.EntryKey(generation))
	if brtable.IsErrRowNotExist(err) {
		return brdocument.Entry{}, ErrGenerationNotExist{generation: generation}
	}
	if err != nil {
		return brdocument.Entry{}, ErrUnavailable{cause: err}
	}
	return entry, nil
}

func (a *Administration) readEntry(ctx context.Context, key string) (brdocument.Entry, error) {
	row, err := a.table.Read(ctx, key)
	if err != nil {
		return brdocument.Entry{}, errors.Errorf("read entry: %w", err)
	}
	entry, err := brdocument.DecodeEntry(row.Value())
	if err != nil {
		return brdocument.Entry{}, errors.Errorf("decode entry %q: %w", key, err)
	}
	return entry, nil
}

// History returns up to limit journal entries before a generation, newest first.
// If before is 0, it starts with the newest entry.
func (a *Administration) History(ctx context.Context, before uint64, limit int) ([]brdocument.Entry, error) {
	if before == 0 {
		_, head, err := a.readHead(ctx)
		if err != nil {
			return nil, ErrUnavailable{cause: err}
		}
		before = head.Generation() + 1
	}
	entries := []brdocument.Entry{}
	for before > 1 && len(entries) < limit {
		page, err := a.readPage(ctx, before-1)
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			break
		}
		entries = append(entries, page...)
		before = page[len(page)-1].Generation()
	}
	return entries[:min(limit, len(entries))], nil
}

// readPage returns the entries in the journal page of a generation, up to and including
// that generation, newest first.
func (a *Administration) readPage(ctx context.Context, last uint64) ([]brdocument.Entry, error) {
	rows, err := a.table.Scan(ctx, brdocument.JournalPagePrefix(last))
	if err != nil {
		return nil, ErrUnavailable{cause: errors.Errorf("read journal: %w", err)}
	}
	entries := []brdocument.Entry{}
	for _, row := range slices.Backward(rows) {
		entry, err := brdocument.DecodeEntry(row.Value())
		if err != nil {
			return nil, errors.Errorf("decode entry %q: %w", row.Key(), err)
		}
		if entry.Generation() <= last {
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

// checkExpected returns ErrConflict if one of the resources was changed after the
// generation that the operator expects. It also does so if that generation is newer
// than the current one or too old to be checked.
func (a *Administration) checkExpected(ctx context.Context, operation Operation, current uint64, changes []brconfig.Change) error {
	expected, isGiven := operation.expected.Get()
	if !isGiven || expected == current {
		return nil
	}
	if expected > current || current-expected > maxExpectedLag {
		newest, err := a.Entry(ctx, current)
		if err != nil && !IsErrGenerationNotExist(err) {
			return err
		}
		return ErrConflict{first: newest}
	}
	entries, err := a.History(ctx, current+1, int(current-expected))
	if err != nil {
		return err
	}
	for _, e := range entries {
		for _, c := range changes {
			if e.Generation() > expected && e.MayAffect(c.Reference()) {
				return ErrConflict{first: e}
			}
		}
	}
	return nil
}
