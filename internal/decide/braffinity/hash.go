package braffinity

import "github.com/cespare/xxhash/v2"

// mix combines two hashes into one, with the finaliser of MurmurHash3.
func mix(a, b uint64) uint64 {
	h := a ^ (b + 0x9e3779b97f4a7c15 + (a << 6) + (a >> 2))
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Fraction hashes a text to a number in [0, 1). Texts hashed with different salts are
// independent.
func Fraction(salt, text string) float64 {
	return fraction(xxhash.Sum64String(salt), xxhash.Sum64String(text))
}

func fraction(salt, hash uint64) float64 {
	return float64(mix(salt, hash)>>11) / (1 << 53)
}
