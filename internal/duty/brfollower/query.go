package brfollower

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/decide/brdistribution"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

// sourceStatus classifies a source by its response.
type sourceStatus int

const (
	// sourceFailed means that the source gave no usable response.
	sourceFailed sourceStatus = iota
	// sourceOutdated means that the source is behind, on another branch or not recently
	// confirmed.
	sourceOutdated
	// sourceCurrent means that the source is up to date and can be kept.
	sourceCurrent
)

// maxPieces limits the number of pieces of one snapshot.
const maxPieces = 4096

func (h *handler) query(ctx context.Context, member brmember.Member, holdTime time.Duration) sourceStatus {
	source := h.dialer.Dial(member.Address())
	sent := h.clock.Now()
	response, err := wait(ctx, source, h.distributor.Generation(), holdTime)
	if err != nil {
		h.warn(ctx, member, err)
		return sourceFailed
	}
	if response.Head().Generation() > h.distributor.Generation() {
		if err := h.catchUp(ctx, source, response.Head()); err != nil {
			h.warn(ctx, member, err)
			return sourceFailed
		}
	}
	return h.confirm(ctx, sent, response)
}

func wait(ctx context.Context, source Source, above uint64, holdTime time.Duration) (PollResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, holdTime+responseTimeout)
	defer cancel()
	return source.Wait(ctx, above, holdTime)
}

// confirm records the time at which the source's head was last confirmed, and classifies
// the source. The time is computed from when the request was sent plus how long the source
// held it, which is never later than the response, so that the result is never too recent.
func (h *handler) confirm(ctx context.Context, sent time.Time, response PollResponse) sourceStatus {
	age, known := response.Age().Get()
	if !known {
		return sourceOutdated
	}
	state, err := h.distributor.Confirm(ctx, response.Head(), sent.Add(response.Held()-age), false)
	if err != nil {
		return sourceFailed
	}
	behind := response.Head().Generation() < state.Head().Generation()
	branched := response.Head().Generation() == state.Head().Generation() && response.Head() != state.Head()
	if behind || branched || !brdistribution.IsFreshSource(age) {
		return sourceOutdated
	}
	return sourceCurrent
}

// catchUp fetches the deltas from the VM's generation to the source's head, or a
// snapshot if the source no longer keeps those deltas. The deltas are rejected unless
// their digests form a chain that ends in exactly that head.
func (h *handler) catchUp(ctx context.Context, source Source, head brdocument.Head) error {
	before, err := h.distributor.State(ctx)
	if err != nil {
		return errors.Errorf("read local generation: %w", err)
	}
	deltas, covered, err := fetch(ctx, source, before.Head().Generation())
	if err != nil {
		return errors.Errorf("fetch deltas: %w", err)
	}
	if !covered {
		return h.fetchSnapshot(ctx, source, head)
	}
	chain, err := brdocument.VerifyChain(before.Head(), head, deltas)
	if err != nil {
		return errors.Errorf("verify deltas: %w", err)
	}
	if _, err := h.distributor.Offer(ctx, chain); err != nil {
		return errors.Errorf("apply deltas: %w", err)
	}
	return nil
}

func fetch(ctx context.Context, source Source, after uint64) ([][]byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return source.Fetch(ctx, after)
}

func (h *handler) fetchSnapshot(ctx context.Context, source Source, announced brdocument.Head) error {
	head, pieces, err := fetchPieces(ctx, source)
	if err != nil {
		return err
	}
	if head != announced {
		return errors.Errorf("got snapshot of generation %d, want %d", head.Generation(), announced.Generation())
	}
	snapshot, err := brdocument.AssembleSnapshot(head.Generation(), pieces)
	if err != nil {
		return errors.Errorf("assemble snapshot: %w", err)
	}
	if _, err := h.distributor.Install(ctx, head, snapshot); err != nil {
		return errors.Errorf("install snapshot: %w", err)
	}
	return nil
}

func fetchPieces(ctx context.Context, source Source) (brdocument.Head, [][]byte, error) {
	first, err := fetchPiece(ctx, source, 0, brconfig.Reference{})
	if err != nil {
		return brdocument.Head{}, nil, err
	}
	pieces := [][]byte{first.Piece().Data()}
	for last := first.Piece(); last.More(); {
		if len(pieces) == maxPieces {
			return brdocument.Head{}, nil, errors.Errorf("snapshot has more than %d pieces", maxPieces)
		}
		piece, err := fetchPiece(ctx, source, first.Head().Generation(), last.Last())
		if err != nil {
			return brdocument.Head{}, nil, err
		}
		if piece.Head() != first.Head() {
			return brdocument.Head{}, nil, errors.Errorf("snapshot changed between pieces from generation %d to %d", first.Head().Generation(), piece.Head().Generation())
		}
		last = piece.Piece()
		pieces = append(pieces, last.Data())
	}
	return first.Head(), pieces, nil
}

func fetchPiece(ctx context.Context, source Source, generation uint64, after brconfig.Reference) (SnapshotPiece, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	piece, err := source.FetchPiece(ctx, generation, after)
	if err != nil {
		return SnapshotPiece{}, errors.Errorf("fetch snapshot piece: %w", err)
	}
	return piece, nil
}

func (h *handler) warn(ctx context.Context, member brmember.Member, err error) {
	if ctx.Err() == nil {
		h.logger.Warn("failed to fetch configuration from VM", "other", member.Name(), "error", err)
	}
}
