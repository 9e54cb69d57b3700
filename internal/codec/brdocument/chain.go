package brdocument

import "github.com/go-faster/errors"

// Chain verifies that the given deltas, oldest first, lead from one head to the
// other and returns those that are needed. It fails if a delta does not name the
// digest of its predecessor.
func Chain(from, to Head, deltas [][]byte) ([][]byte, error) {
	at := from
	for i, data := range deltas {
		if at == to {
			return deltas[:i], nil
		}
		delta, err := DecodeDelta(data)
		if err != nil {
			return nil, errors.Errorf("delta after generation %d: %w", at.generation, err)
		}
		if delta.previous != at {
			return nil, errors.Errorf("delta %d does not follow generation %d", delta.Generation(), at.generation)
		}
		at = NewHead(delta.Generation(), delta.Operation(), data)
	}
	if at != to {
		return nil, errors.Errorf("deltas end at generation %d instead of the announced %d", at.generation, to.generation)
	}
	return deltas, nil
}
