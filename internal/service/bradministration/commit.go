package bradministration

import (
	"context"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/decide/brwitness"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

const (
	// maxCommitAttempts is the maximum number of times that one transaction is sent.
	maxCommitAttempts = 4
	// retainedGenerations is the number of generations for which journal entries
	// and operation rows are kept.
	retainedGenerations = 100_000
)

// transaction builds the transaction that commits a change atomically.
func (a *Administration) transaction(ctx context.Context, from base, entry brdocument.Entry) (brtable.Transaction, error) {
	head, err := brdocument.EncodeHead(entry.Head())
	if err != nil {
		return brtable.Transaction{}, errors.Errorf("encode head: %w", err)
	}
	row, err := brdocument.EncodeEntry(entry)
	if err != nil {
		return brtable.Transaction{}, errors.Errorf("encode entry: %w", err)
	}
	operationKey := brdocument.OperationKey(entry.Operation())
	transaction := brtable.NewTransaction().
		Require(brdocument.HeadKey, from.headVersion).
		Require(operationKey, 0).
		Put(brdocument.HeadKey, head).
		Put(operationKey, row).
		Put(brdocument.EntryKey(entry.Generation()), row)
	return a.expire(ctx, transaction, entry.Generation())
}

// expire adds the deletion of the rows of the generation that falls out of the
// retention.
func (a *Administration) expire(ctx context.Context, transaction brtable.Transaction, generation uint64) (brtable.Transaction, error) {
	if generation <= retainedGenerations {
		return transaction, nil
	}
	old, err := a.Entry(ctx, generation-retainedGenerations)
	if IsErrGenerationNotExist(err) {
		return transaction, nil
	}
	if err != nil {
		return brtable.Transaction{}, err
	}
	return transaction.
		Delete(brdocument.OperationKey(old.Operation())).
		Delete(brdocument.EntryKey(old.Generation())), nil
}

// commit sends a transaction until its outcome is known or the attempts are used
// up. Retries are safe: the transaction requires the version of the head that it
// replaces, so it takes effect at most once, however late an earlier request is
// applied.
func (a *Administration) commit(ctx context.Context, transaction brtable.Transaction, entry brdocument.Entry) (brdocument.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, brwitness.CommitTimeout)
	defer cancel()
	var unknownErr error
	for range maxCommitAttempts {
		err := a.table.Commit(ctx, transaction)
		switch {
		case err == nil:
			return entry, nil
		case brtable.IsErrPrecondition(err):
			return a.resolveFailedPrecondition(ctx, entry)
		case brtable.IsErrOutcomeUnknown(err):
			unknownErr = err
		case unknownErr == nil:
			return brdocument.Entry{}, ErrUnavailable{cause: errors.Errorf("commit new head: %w", err)}
		}
	}
	return brdocument.Entry{}, ErrOutcomeUnknown{operation: entry.Operation(), generation: entry.Generation(), cause: unknownErr}
}

// resolveFailedPrecondition determines why a precondition failed: the operation
// took effect before, or another change advanced the head. In both cases the
// transaction can't take effect any more, so a row that is missing now stays
// missing.
func (a *Administration) resolveFailedPrecondition(ctx context.Context, entry brdocument.Entry) (brdocument.Entry, error) {
	accepted, err := a.readOperation(ctx, entry.Operation())
	if err == nil {
		return a.checkSameRequest(entry, accepted)
	}
	if !brtable.IsErrRowNotExist(err) {
		return brdocument.Entry{}, ErrOutcomeUnknown{operation: entry.Operation(), generation: entry.Generation(), cause: err}
	}
	// The entry is used for the error message only, so a read error is ignored.
	first, _ := a.Entry(ctx, entry.Generation())
	return brdocument.Entry{}, errHeadAdvanced{conflict: ErrConflict{first: first}}
}

func (*Administration) checkSameRequest(entry, accepted brdocument.Entry) (brdocument.Entry, error) {
	isSame := accepted.Fingerprint() == entry.Fingerprint() &&
		accepted.Author() == entry.Author() &&
		accepted.Team() == entry.Team()
	if !isSame {
		return brdocument.Entry{}, ErrOperationReused{operation: entry.Operation()}
	}
	return accepted, nil
}
