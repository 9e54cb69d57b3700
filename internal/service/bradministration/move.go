package bradministration

import (
	"context"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/decide/brmove"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brprincipal"
)

// errMoved says that a move is not as it was when its next record was proposed.
var errMoved = errors.New("move has gone on")

// RecordMove writes the next record of a move and reports whether the operation
// did so. It writes nothing where the move is no longer as it was. A write whose
// outcome was lost is found again by the identifier of its operation.
func (a *Administration) RecordMove(ctx context.Context, vm, id string, proposal brmove.Proposal) (bool, error) {
	edit := func(snapshot *brconfig.Snapshot) ([]brconfig.Change, error) {
		held, ok := snapshot.Moves().Get(proposal.Name()).Get()
		if !ok {
			return nil, errMoved
		}
		next, due := proposal.Apply(a.clock.Now(), held).Get()
		if !due {
			return nil, errMoved
		}
		return []brconfig.Change{brconfig.Put(next)}, nil
	}
	operation := NewOperation(brprincipal.New(vm, "", brconfig.RoleAdministrator), edit).WithID(id, id)
	operation.internal = true
	operation.withoutWitness = true
	_, err := a.Apply(ctx, operation)
	if errors.Is(err, errMoved) {
		return false, nil
	}
	if err != nil {
		return false, errors.Errorf("record move %q: %w", proposal.Name(), err)
	}
	return true, nil
}
