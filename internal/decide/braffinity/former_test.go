package braffinity_test

import (
	"testing"

	"bergamotroad.example/bergamotroad/internal/decide/braffinity"
)

// former is the policy before Weighted, as the baseline: rendezvous hashing without
// weights, and a preference of regions by the slots of the servers that are usable at the
// moment.
type former struct{}

func (former) Score(hash uint64, _ int) float64 { return float64(hash) }

func (former) KeptShare(regions *braffinity.Regions, own string) (share, tolerance float64) {
	return 0.65 * float64(regions.Len()) * regions.RemainingShare(own), 0
}

func (former) Redistributes() bool { return false }

func newFormer(region string) ordering { return newSelection[former](region) }

func newWeighted(region string) ordering { return newSelection[braffinity.Weighted](region) }

// selection is the ordering of a selector.
type selection[P braffinity.Policy] struct {
	selector *braffinity.Selector[*node, P]
	pool     *braffinity.Pool[*node]
}

func newSelection[P braffinity.Policy](region string) ordering {
	return &selection[P]{selector: braffinity.NewSelector[*node, P](region)}
}

func (s *selection[P]) update(nodes []*node) {
	s.pool = s.selector.Pool(braffinity.NewGroup("lookup", false))
	for _, n := range nodes {
		state := braffinity.Usable
		if n.evacuated {
			state = braffinity.Evacuated
		}
		s.pool.Add(n, state)
	}
}

func (s *selection[P]) first(object string, limit int) []*node {
	return s.selector.Order(object, s.pool, limit)
}

func BenchmarkFormerMoves(b *testing.B) { benchmarkMoves(b, newFormer) }

func BenchmarkWeightedMoves(b *testing.B) { benchmarkMoves(b, newWeighted) }
