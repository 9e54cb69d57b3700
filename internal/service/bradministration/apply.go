package bradministration

import (
	"context"
	"slices"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/decide/braccess"
	"bergamotroad.example/bergamotroad/internal/decide/brmove"
	"bergamotroad.example/bergamotroad/internal/decide/brselector"
	"bergamotroad.example/bergamotroad/internal/decide/brshare"
	"bergamotroad.example/bergamotroad/internal/decide/brvalidation"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

// maxAttempts limits how often a change is retried because the head advanced
// concurrently.
const maxAttempts = 8

// Apply applies an operation at most once. It returns ErrConflict,
// ErrUnavailable, ErrOutcomeUnknown, ErrOperationReused, or an error that says
// why the change is refused. Only after ErrOutcomeUnknown may the operation still
// take effect.
func (a *Administration) Apply(ctx context.Context, operation Operation) (Outcome, error) {
	outcome, err := a.applyRateLimited(ctx, operation)
	a.audit(operation, outcome, err)
	return outcome, err
}

func (a *Administration) applyRateLimited(ctx context.Context, operation Operation) (Outcome, error) {
	team := operation.principal.Team()
	wait, err := a.limiter.Take(ctx, team)
	if err != nil {
		return Outcome{}, ErrUnavailable{cause: err}
	}
	if wait > 0 {
		return Outcome{}, ErrRateLimited{team: team, wait: wait}
	}
	return a.apply(ctx, operation)
}

func (a *Administration) apply(ctx context.Context, operation Operation) (Outcome, error) {
	var err error
	for range maxAttempts {
		var outcome Outcome
		outcome, err = a.attempt(ctx, operation)
		if !isErrHeadAdvanced(err) {
			return outcome, err
		}
	}
	advanced, _ := errors.Into[errHeadAdvanced](err)
	return Outcome{}, advanced.conflict
}

// errHeadAdvanced is returned when the head advanced between reading and writing it.
type errHeadAdvanced struct {
	conflict ErrConflict
}

// Error returns the message of the conflict.
func (e errHeadAdvanced) Error() string { return e.conflict.Error() }

func isErrHeadAdvanced(err error) bool {
	_, ok := errors.Into[errHeadAdvanced](err)
	return ok
}

// base is the configuration that an attempt is based on.
type base struct {
	headVersion int64
	head        brdocument.Head
	snapshot    *brconfig.Snapshot
}

func (a *Administration) attempt(ctx context.Context, operation Operation) (Outcome, error) {
	from, err := a.readBase(ctx)
	if err != nil {
		return Outcome{}, err
	}
	// The row is read after the head: if it is missing and a delayed write of the
	// same operation is applied later, that write advances the head, and the
	// precondition of this attempt fails.
	entry, err := a.readOperation(ctx, operation.id)
	if err == nil {
		return repeatedOutcome(operation, entry)
	}
	if !brtable.IsErrRowNotExist(err) {
		return Outcome{}, ErrUnavailable{cause: err}
	}
	changes, warnings, err := a.validate(from.snapshot, operation)
	if err != nil {
		return Outcome{}, err
	}
	if err := a.checkExpected(ctx, operation, from.head.Generation(), changes); err != nil {
		return Outcome{}, err
	}
	entry, err = a.write(ctx, from, operation, changes)
	if err != nil {
		return Outcome{}, err
	}
	return Outcome{
		generation: entry.Generation(),
		operation:  operation.id,
		changed:    entry.Summary(),
		warnings:   warnings,
	}, nil
}

func repeatedOutcome(operation Operation, entry brdocument.Entry) (Outcome, error) {
	isSame := entry.Fingerprint() == operation.fingerprint &&
		entry.Author() == operation.principal.Name() &&
		entry.Team() == operation.principal.Team()
	if !isSame {
		return Outcome{}, ErrOperationReused{operation: operation.id}
	}
	return Outcome{generation: entry.Generation(), operation: operation.id, repeated: true}, nil
}

// validate checks an operation and returns its changes and warnings, or an
// error that says why it is refused.
func (a *Administration) validate(snapshot *brconfig.Snapshot, operation Operation) ([]brconfig.Change, []string, error) {
	// The operator was authenticated against an older configuration; the token
	// may have been revoked since.
	if !operation.internal && !a.policy.IsCurrent(snapshot, operation.principal) {
		return nil, nil, ErrUnauthenticated{}
	}
	changes, err := operation.edit(snapshot)
	if err != nil {
		return nil, nil, errors.Errorf("compute changes: %w", err)
	}
	changes = brmove.KeepStates(snapshot, changes)
	if err := braccess.Check(operation.principal, snapshot, changes); err != nil {
		return nil, nil, errors.Errorf("check permissions: %w", err)
	}
	if err := brvalidation.CheckChanges(changes); err != nil {
		return nil, nil, errors.Errorf("check resources: %w", err)
	}
	next, err := snapshot.Apply(snapshot.Generation()+1, changes)
	if err != nil {
		return nil, nil, errors.Errorf("apply changes to snapshot: %w", err)
	}
	if err := braccess.CheckLockout(next, changes); err != nil {
		return nil, nil, errors.Errorf("check for lockout: %w", err)
	}
	if err := brvalidation.CheckQuotas(snapshot, next, changes); err != nil {
		return nil, nil, errors.Errorf("check quotas: %w", err)
	}
	if err := brmove.CheckChanges(a.clock.Now(), next, changes); err != nil {
		return nil, nil, errors.Errorf("check moves: %w", err)
	}
	if err := checkContracts(next, changes); err != nil {
		return nil, nil, err
	}
	if err := brselector.CheckConflicts(next, changes); err != nil {
		return nil, nil, errors.Errorf("check selectors: %w", err)
	}
	warnings := []string{}
	for _, name := range brselector.Unmatched(next, changes) {
		warnings = append(warnings, "selector "+name+" matches nothing")
	}
	return changes, warnings, nil
}

// write stores the delta of a change and commits its transaction.
func (a *Administration) write(ctx context.Context, from base, operation Operation, changes []brconfig.Change) (brdocument.Entry, error) {
	// Each attempt writes its own delta, so that two attempts of one operation
	// never write different data under the same object name.
	attemptID := uuid.NewString()
	data, err := brdocument.EncodeDelta(brdocument.NewDelta(from.head, attemptID, operation.principal.Name(), changes))
	if err != nil {
		return brdocument.Entry{}, errors.Errorf("encode change: %w", err)
	}
	head := brdocument.NewHead(from.head.Generation()+1, attemptID, data)
	entry := brdocument.NewEntry(head, operation.id, operation.fingerprint, operation.principal.Name(), operation.principal.Team(), a.clock.Now().UTC()).WithChanges(changes)
	if err := a.objects.Put(ctx, head.DeltaName(), data); err != nil {
		return brdocument.Entry{}, ErrUnavailable{cause: errors.Errorf("write delta: %w", err)}
	}
	transaction, err := a.transaction(ctx, from, entry)
	if err != nil {
		return brdocument.Entry{}, err
	}
	announced, err := a.announce(ctx, from.snapshot, attemptID, operation.withoutWitness)
	if err != nil {
		return brdocument.Entry{}, err
	}
	accepted, err := a.commit(ctx, transaction, entry)
	if !IsErrOutcomeUnknown(err) {
		announced.end(ctx, deltaIfAccepted(err == nil && accepted.Head() == head, data))
	}
	if err != nil {
		return brdocument.Entry{}, err
	}
	if accepted.Head() == head {
		// An error is ignored: the change is accepted, and the poller fetches it later.
		_, _ = a.replica.Offer(ctx, [][]byte{data})
	}
	return accepted, nil
}

func deltaIfAccepted(accepted bool, delta []byte) []byte {
	if !accepted {
		return nil
	}
	return delta
}

// checkContracts returns ErrContract if a contract or unit was changed and the
// contracts can't be fulfilled exactly.
func checkContracts(next *brconfig.Snapshot, changes []brconfig.Change) error {
	isAffected := slices.ContainsFunc(changes, func(c brconfig.Change) bool {
		kind := c.Reference().Kind()
		return kind == brconfig.KindContract || kind == brconfig.KindUnit
	})
	if !isAffected {
		return nil
	}
	if err := brshare.CheckContracts(next); err != nil {
		return ErrContract{cause: err}
	}
	return nil
}
