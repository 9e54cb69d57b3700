package braffinity_test

import (
	"cmp"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// former is the order of servers before this package, as the baseline: rendezvous
// hashing without weights, and a preference of regions by the slots of the servers
// that are usable at the moment.
type former struct {
	region string
}

func (f former) first(object string, nodes []*node, limit int) []*node {
	type ranked struct {
		node  *node
		score uint64
	}
	hash := xxhash.Sum64String(object)
	list := []ranked{}
	own, total, regions := 0, 0, map[string]bool{}
	for _, n := range nodes {
		if n.evacuated {
			continue
		}
		list = append(list, ranked{n, formerMix(hash, xxhash.Sum64String(n.id))})
		total += n.slots
		regions[n.region] = true
		if n.region == f.region {
			own += n.slots
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	share := 0.65 * float64(own*len(regions)) / float64(total)
	stays := float64(formerMix(xxhash.Sum64String("home"), hash)>>11)/(1<<53) < share
	first := slices.IndexFunc(list, func(r ranked) bool { return (r.node.region == f.region) == stays })
	if first > 0 {
		moved := list[first]
		copy(list[1:first+1], list[:first])
		list[0] = moved
	}
	order := []*node{}
	for _, r := range list[:min(limit, len(list))] {
		order = append(order, r.node)
	}
	return order
}

func formerMix(a, b uint64) uint64 {
	h := a ^ (b + 0x9e3779b97f4a7c15 + (a << 6) + (a >> 2))
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func newFormer(region string) ordering { return former{region: region} }

func BenchmarkFormerMoves(b *testing.B) { benchmarkMoves(b, newFormer) }
