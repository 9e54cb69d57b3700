package bradministration

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

// readBase reads the newest head and brings this VM's replica up to date with it.
func (a *Administration) readBase(ctx context.Context) (base, error) {
	version, head, err := a.readHead(ctx)
	if err != nil {
		return base{}, ErrUnavailable{cause: err}
	}
	state, err := a.replica.State(ctx)
	if err != nil {
		return base{}, ErrUnavailable{cause: errors.Errorf("read configuration: %w", err)}
	}
	if state.Head().Generation() < head.Generation() {
		deltas, err := a.readDeltas(ctx, state.Head(), head)
		if err != nil {
			return base{}, ErrUnavailable{cause: errors.Errorf("read deltas up to generation %d: %w", head.Generation(), err)}
		}
		if state, err = a.replica.Offer(ctx, deltas); err != nil {
			return base{}, ErrUnavailable{cause: errors.Errorf("apply newest deltas: %w", err)}
		}
	}
	if state.Head() != head {
		return base{}, ErrUnavailable{cause: errors.Errorf("configuration of this VM is at generation %d and does not match the head at generation %d", state.Head().Generation(), head.Generation())}
	}
	return base{headVersion: version, head: head, snapshot: state.Snapshot()}, nil
}

func (a *Administration) readHead(ctx context.Context) (int64, brdocument.Head, error) {
	row, err := a.table.Read(ctx, brdocument.HeadKey)
	if brtable.IsErrRowNotExist(err) {
		return 0, brdocument.Head{}, nil
	}
	if err != nil {
		return 0, brdocument.Head{}, errors.Errorf("read head: %w", err)
	}
	head, err := brdocument.DecodeHead(row.Value())
	if err != nil {
		return 0, brdocument.Head{}, errors.Errorf("decode head: %w", err)
	}
	return row.Version(), head, nil
}

// readDeltas returns the deltas after own up to and including head, oldest first.
func (a *Administration) readDeltas(ctx context.Context, own, head brdocument.Head) ([][]byte, error) {
	if head.Generation() > own.Generation()+maxRebuildDeltas {
		return nil, errors.Errorf("head is %d generations ahead, which is too many to read", head.Generation()-own.Generation())
	}
	deltas := [][]byte{}
	for head.Generation() > own.Generation() {
		data, delta, err := a.readDelta(ctx, head)
		if err != nil {
			return nil, err
		}
		deltas = append(deltas, data)
		head = delta.Previous()
	}
	slices.Reverse(deltas)
	return deltas, nil
}

func (a *Administration) readDelta(ctx context.Context, head brdocument.Head) ([]byte, brdocument.Delta, error) {
	data, err := a.objects.Get(ctx, head.DeltaName())
	if err != nil {
		return nil, brdocument.Delta{}, errors.Errorf("read delta: %w", err)
	}
	if brdocument.Digest(data) != head.Digest() {
		return nil, brdocument.Delta{}, errors.Errorf("digest of delta %d does not match its head", head.Generation())
	}
	delta, err := brdocument.DecodeDelta(data)
	if err != nil {
		return nil, brdocument.Delta{}, errors.Errorf("decode delta: %w", err)
	}
	return data, delta, nil
}
