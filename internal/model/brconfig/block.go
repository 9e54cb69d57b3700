package brconfig

import (
	"net/netip"
	"slices"
	"time"
)

// Distance is the network distance of a site from the clients of a block.
type Distance struct {
	site      string
	roundTrip time.Duration
}

// NewDistance returns the distance to a site with the given round-trip time.
func NewDistance(site string, roundTrip time.Duration) Distance {
	return Distance{site: site, roundTrip: roundTrip}
}

// Site returns the name of the site.
func (d Distance) Site() string { return d.site }

// RoundTrip returns the round-trip time.
func (d Distance) RoundTrip() time.Duration { return d.roundTrip }

// Block is a range of client addresses that are routed to the same sites.
type Block struct {
	Meta
	prefix    netip.Prefix
	distances []Distance
}

// NewBlock returns a block of client addresses with the distances to its candidate sites.
func NewBlock(meta Meta, prefix netip.Prefix, distances []Distance) Block {
	return Block{Meta: meta, prefix: prefix, distances: slices.Clone(distances)}
}

// Kind returns KindBlock.
func (Block) Kind() Kind { return KindBlock }

// References returns references to the candidate sites.
func (b Block) References() []Reference {
	references := make([]Reference, 0, len(b.distances))
	for _, d := range b.distances {
		references = append(references, NewReference(KindSite, d.site))
	}
	return references
}

// Prefix returns the address range of the block.
func (b Block) Prefix() netip.Prefix { return b.prefix }

// Distances returns the distances to the candidate sites. The caller must not modify the slice.
func (b Block) Distances() []Distance { return b.distances }

// UniqueValues returns the prefix, which only one block may have.
func (b Block) UniqueValues() []UniqueValue {
	return []UniqueValue{NewUniqueValue("prefix", b.prefix.Masked().String())}
}
