package bradministration

import (
	"context"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/decide/brmove"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brprincipal"
)

// errMoveChanged is returned if a move has changed since its next record was proposed.
var errMoveChanged = errors.New("move has changed since the record was proposed")

// RecordMove writes the next record of a move and reports whether this operation
// wrote it. It writes nothing if the move has changed since the record was proposed.
// The outcome of an interrupted write can be looked up by the operation's identifier.
func (a *Administration) RecordMove(ctx context.Context, vm, id string, proposal brmove.Proposal) (bool, error) {
	edit := func(snapshot *brconfig.Snapshot) ([]brconfig.Change, error) {
		current, ok := snapshot.Moves().Get(proposal.Name()).Get()
		if !ok {
			return nil, errMoveChanged
		}
		next, due := proposal.Apply(a.clock.Now(), current).Get()
		if !due {
			return nil, errMoveChanged
		}
		return []brconfig.Change{brconfig.Put(next)}, nil
	}
	operation := NewOperation(brprincipal.New(vm, "", brconfig.RoleAdministrator), edit).WithID(id, id)
	operation.internal = true
	operation.withoutWitness = true
	_, err := a.Apply(ctx, operation)
	if errors.Is(err, errMoveChanged) {
		return false, nil
	}
	if err != nil {
		return false, errors.Errorf("record move %q: %w", proposal.Name(), err)
	}
	return true, nil
}
