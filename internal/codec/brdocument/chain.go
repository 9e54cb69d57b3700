package brdocument

import "github.com/go-faster/errors"

// VerifyChain verifies that the given deltas, oldest first, lead from one head to the
// other and returns those that are needed. It returns an error if a delta does not
// name the digest of its predecessor.
func VerifyChain(from, to Head, deltas [][]byte) ([][]byte, error) {
	head := from
	for i, data := range deltas {
		if head == to {
			return deltas[:i], nil
		}
		delta, err := DecodeDelta(data)
		if err != nil {
			return nil, errors.Errorf("delta after generation %d: %w", head.generation, err)
		}
		if delta.previous != head {
			return nil, errors.Errorf("delta %d does not follow generation %d", delta.Generation(), head.generation)
		}
		head = NewHead(delta.Generation(), delta.Operation(), data)
	}
	if head != to {
		return nil, errors.Errorf("deltas end at generation %d instead of the announced %d", head.generation, to.generation)
	}
	return deltas, nil
}
