package brpoller

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/duty/brdistributor"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/peer/brobject"
)

// reader loads configurations from the object store.
type reader struct {
	objects brobject.Store
}

// chain is a sequence of deltas, oldest first, with the snapshot to which they apply
// if the chain does not start at the VM's own head.
type chain struct {
	head     brdocument.Head
	snapshot *brconfig.Snapshot
	deltas   [][]byte
}

// loadChain walks the chain from head back to own, or to the first usable snapshot.
func (r *reader) loadChain(ctx context.Context, own, head brdocument.Head) (chain, error) {
	result := chain{}
	for head.Generation() > own.Generation() {
		if snapshot, ok := r.snapshotAt(ctx, own, head).Get(); ok {
			result.head, result.snapshot = head, snapshot
			break
		}
		data, delta, err := r.delta(ctx, head)
		if err != nil {
			return chain{}, err
		}
		result.deltas = append(result.deltas, data)
		head = delta.Previous()
	}
	slices.Reverse(result.deltas)
	return result, nil
}

func (r *reader) delta(ctx context.Context, head brdocument.Head) ([]byte, brdocument.Delta, error) {
	data, err := r.objects.Get(ctx, head.DeltaName())
	if err != nil {
		return nil, brdocument.Delta{}, errors.Errorf("read delta: %w", err)
	}
	if brdocument.Digest(data) != head.Digest() {
		return nil, brdocument.Delta{}, errors.Errorf("digest of delta %d differs from the digest in its successor or head", head.Generation())
	}
	delta, err := brdocument.DecodeDelta(data)
	if err != nil {
		return nil, brdocument.Delta{}, errors.Errorf("decode delta: %w", err)
	}
	if delta.Generation() != head.Generation() {
		return nil, brdocument.Delta{}, errors.Errorf("delta %d has predecessor of generation %d", head.Generation(), delta.Previous().Generation())
	}
	return data, delta, nil
}

// snapshotAt returns the snapshot of a head if a complete one exists and it replaces at
// least SnapshotInterval deltas, or fewer if the VM has no configuration yet. Otherwise the
// caller continues with the delta of the head.
func (r *reader) snapshotAt(ctx context.Context, own, head brdocument.Head) broption.Option[*brconfig.Snapshot] {
	none := broption.None[*brconfig.Snapshot]()
	near := head.Generation()-own.Generation() < brdistributor.SnapshotInterval
	if head.Generation()%brdistributor.SnapshotInterval != 0 || (near && own.Generation() > 0) {
		return none
	}
	data, err := r.objects.Get(ctx, brdocument.ManifestName(head))
	if err != nil {
		return none
	}
	manifest, err := brdocument.DecodeManifest(data)
	if err != nil || manifest.Head() != head {
		return none
	}
	snapshot, err := r.assemble(ctx, manifest)
	return broption.Of(snapshot, err == nil)
}

func (r *reader) assemble(ctx context.Context, manifest brdocument.Manifest) (*brconfig.Snapshot, error) {
	pieces := make([][]byte, 0, len(manifest.Digests()))
	for i, digest := range manifest.Digests() {
		data, err := r.objects.Get(ctx, brdocument.PieceName(manifest.Head(), i))
		if err != nil {
			return nil, errors.Errorf("read piece %d of snapshot: %w", i, err)
		}
		if brdocument.Digest(data) != digest {
			return nil, errors.Errorf("digest of piece %d of snapshot %d differs from the manifest", i, manifest.Head().Generation())
		}
		pieces = append(pieces, data)
	}
	snapshot, err := brdocument.AssembleSnapshot(manifest.Head().Generation(), pieces)
	if err != nil {
		return nil, errors.Errorf("assemble snapshot: %w", err)
	}
	return snapshot, nil
}
