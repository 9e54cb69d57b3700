package bradministration

import (
	"context"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// maxRebuildDeltas is the maximum number of deltas that are read to rebuild a
// configuration.
const maxRebuildDeltas = 10_000

// SnapshotAt returns the configuration at an earlier generation, rebuilt from all deltas
// up to it. It fails with ErrGenerationNotExist or ErrUnavailable.
func (a *Administration) SnapshotAt(ctx context.Context, generation uint64) (*brconfig.Snapshot, error) {
	if generation > maxRebuildDeltas {
		return nil, ErrGenerationNotExist{generation: generation}
	}
	entry, err := a.Entry(ctx, generation)
	if err != nil {
		return nil, err
	}
	deltas, err := a.readDeltas(ctx, brdocument.Head{}, entry.Head())
	if err != nil {
		return nil, ErrUnavailable{cause: err}
	}
	snapshot := brconfig.NewSnapshot()
	for _, data := range deltas {
		delta, err := brdocument.DecodeDelta(data)
		if err != nil {
			return nil, errors.Errorf("rebuild generation %d: %w", generation, err)
		}
		if snapshot, err = snapshot.Apply(delta.Generation(), delta.Changes()); err != nil {
			return nil, errors.Errorf("rebuild generation %d: %w", generation, err)
		}
	}
	return snapshot, nil
}

// kindsNotRestored holds the kinds that a restore leaves unchanged: a key or token that
// was revoked since must not become valid again, and a move that has ended must not
// run again.
var kindsNotRestored = brset.New(brconfig.KindToken, brconfig.KindKey, brconfig.KindMove)

// RestoreEdit returns an edit that restores an earlier configuration, except for keys,
// tokens and moves.
func RestoreEdit(past *brconfig.Snapshot) Edit {
	return func(snapshot *brconfig.Snapshot) ([]brconfig.Change, error) {
		changes := []brconfig.Change{}
		for _, kind := range snapshot.Kinds() {
			if kindsNotRestored.Has(kind) {
				continue
			}
			for resource := range snapshot.All(kind) {
				reference := brconfig.NewReference(kind, resource.Name())
				if !past.Get(reference).IsPresent() {
					changes = append(changes, brconfig.Delete(reference))
				}
			}
			for resource := range past.All(kind) {
				reference := brconfig.NewReference(kind, resource.Name())
				isSame, err := sameResource(snapshot.Get(reference), broption.Some(resource))
				if err != nil {
					return nil, err
				}
				if !isSame {
					changes = append(changes, brconfig.Put(resource))
				}
			}
		}
		return changes, nil
	}
}
