package brplacement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// mix combines two hashes into one, with the finaliser of MurmurHash3.
func mix(a, b uint64) uint64 {
	h := a ^ (b + 0x9e3779b97f4a7c15 + (a << 6) + (a >> 2))
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// ranked is a server with its rendezvous hash for an object.
type ranked struct {
	server *server
	score  uint64
}

// rank orders servers for an object by rendezvous hashing, so that a server that
// is added or removed moves only its own objects. The first server for which
// preferred returns true is moved to the front.
func rank(object string, servers []*server, preferred func(*server) bool) []ranked {
	hash := xxhash.Sum64String(object)
	list := make([]ranked, 0, len(servers))
	for _, s := range servers {
		list = append(list, ranked{server: s, score: mix(hash, s.hash)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	first := slices.IndexFunc(list, func(r ranked) bool { return preferred(r.server) })
	if first > 0 {
		moved := list[first]
		copy(list[1:first+1], list[:first])
		list[0] = moved
	}
	return list
}

// hashFraction hashes a text to a number in [0, 1).
func hashFraction(salt, text string) float64 {
	return float64(mix(xxhash.Sum64String(salt), xxhash.Sum64String(text))>>11) / (1 << 53)
}
