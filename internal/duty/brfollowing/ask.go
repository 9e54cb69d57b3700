package brfollowing

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/decide/brspread"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

// verdict is what an answer says of its source.
type verdict int

const (
	// verdictFailed says that the source gave no answer that can be used.
	verdictFailed verdict = iota
	// verdictOutdated says that the source is behind or badly informed.
	verdictOutdated
	// verdictInformed says that the source is worth asking again.
	verdictInformed
)

// maxPieces bounds the pieces of one snapshot.
const maxPieces = 4096

func (h *handler) ask(ctx context.Context, member brmember.Member, hold time.Duration) verdict {
	source := h.dialer.Dial(member.Address())
	sent := h.clock.Now()
	notice, err := wait(ctx, source, h.spreading.Generation(), hold)
	if err != nil {
		h.warn(ctx, member, err)
		return verdictFailed
	}
	if notice.Head().Generation() > h.spreading.Generation() {
		if err := h.catchUp(ctx, source, notice.Head()); err != nil {
			h.warn(ctx, member, err)
			return verdictFailed
		}
	}
	return h.confirm(ctx, sent, notice)
}

func wait(ctx context.Context, source Source, above uint64, hold time.Duration) (Notice, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+answerTime)
	defer cancel()
	return source.Wait(ctx, above, hold)
}

// confirm takes over how recent the source's knowledge is. The time at which
// the question was sent, plus the time for which it was held, lies before the answer.
func (h *handler) confirm(ctx context.Context, sent time.Time, notice Notice) verdict {
	age, known := notice.Age().Get()
	if !known {
		return verdictOutdated
	}
	state, err := h.spreading.Confirm(ctx, notice.Head(), sent.Add(notice.Held()-age), false)
	if err != nil {
		return verdictFailed
	}
	behind := notice.Head().Generation() < state.Head().Generation()
	branched := notice.Head().Generation() == state.Head().Generation() && notice.Head() != state.Head()
	if behind || branched || !brspread.WellInformed(age) {
		return verdictOutdated
	}
	return verdictInformed
}

// catchUp fetches what leads from the VM's generation to the source's head.
// What does not end in that head, digest for digest, is not taken.
func (h *handler) catchUp(ctx context.Context, source Source, head brdocument.Head) error {
	before, err := h.spreading.State(ctx)
	if err != nil {
		return errors.Errorf("read own generation: %w", err)
	}
	deltas, covered, err := fetch(ctx, source, before.Head().Generation())
	if err != nil {
		return errors.Errorf("fetch deltas: %w", err)
	}
	if !covered {
		return h.takeSnapshot(ctx, source, head)
	}
	chain, err := brdocument.Chain(before.Head(), head, deltas)
	if err != nil {
		return errors.Errorf("check deltas: %w", err)
	}
	if _, err := h.spreading.Offer(ctx, chain); err != nil {
		return errors.Errorf("offer deltas: %w", err)
	}
	return nil
}

func fetch(ctx context.Context, source Source, after uint64) ([][]byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return source.Fetch(ctx, after)
}

func (h *handler) takeSnapshot(ctx context.Context, source Source, announced brdocument.Head) error {
	head, pieces, err := fetchPieces(ctx, source)
	if err != nil {
		return err
	}
	if head != announced {
		return errors.Errorf("snapshot of generation %d in place of %d", head.Generation(), announced.Generation())
	}
	snapshot, err := brdocument.Assemble(head.Generation(), pieces)
	if err != nil {
		return errors.Errorf("assemble snapshot: %w", err)
	}
	if _, err := h.spreading.Install(ctx, head, snapshot); err != nil {
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
		part, err := fetchPiece(ctx, source, first.Head().Generation(), last.Last())
		if err != nil {
			return brdocument.Head{}, nil, err
		}
		if part.Head() != first.Head() {
			return brdocument.Head{}, nil, errors.Errorf("pieces of two snapshots, %d and %d", first.Head().Generation(), part.Head().Generation())
		}
		last = part.Piece()
		pieces = append(pieces, last.Data())
	}
	return first.Head(), pieces, nil
}

func fetchPiece(ctx context.Context, source Source, generation uint64, after brconfig.Reference) (Part, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	part, err := source.FetchPiece(ctx, generation, after)
	if err != nil {
		return Part{}, errors.Errorf("fetch piece of snapshot: %w", err)
	}
	return part, nil
}

func (h *handler) warn(ctx context.Context, member brmember.Member, err error) {
	if ctx.Err() == nil {
		h.logger.Warn("other VM gave no configuration", "other", member.Name(), "error", err)
	}
}
