package brdocument_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// BenchmarkSnapshot measures encoding a complete snapshot in pieces and decoding it.
func BenchmarkSnapshot(b *testing.B) {
	for _, blocks := range []int{1000, 4000, 16_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			snapshot := newSnapshot(b, blocks)
			bytes := 0
			for b.Loop() {
				pieces := encodePieces(b, snapshot)
				bytes = 0
				for _, piece := range pieces {
					bytes += len(piece)
				}
				_, err := brdocument.AssembleSnapshot(1, pieces)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(bytes), "encoded-B")
		})
	}
}

func encodePieces(b *testing.B, snapshot *brconfig.Snapshot) [][]byte {
	pieces := [][]byte{}
	after := brconfig.Reference{}
	for {
		piece, err := brdocument.EncodePiece(snapshot, after)
		require.NoError(b, err)
		pieces = append(pieces, piece.Data())
		if !piece.More() {
			return pieces
		}
		after = piece.Last()
	}
}

func newSnapshot(b *testing.B, blocks int) *brconfig.Snapshot {
	const (
		sites   = 100
		nearest = 8 // candidate sites of a block
	)
	changes := []brconfig.Change{
		brconfig.Put(brconfig.NewRegion(brconfig.NewMeta("region"))),
		brconfig.Put(brconfig.NewDomain(brconfig.NewMeta("domain"), "region")),
	}
	for i := range sites {
		changes = append(changes, brconfig.Put(brconfig.NewSite(brconfig.NewMeta(fmt.Sprintf("site-%d", i)), "domain")))
	}
	for i := range blocks {
		distances := []brconfig.Distance{}
		for d := range nearest {
			distances = append(distances, brconfig.NewDistance(fmt.Sprintf("site-%d", (i+d)%sites), time.Duration(d)*time.Millisecond))
		}
		address := netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 0})
		changes = append(changes, brconfig.Put(brconfig.NewBlock(brconfig.NewMeta(fmt.Sprintf("block-%d", i)), netip.PrefixFrom(address, 24), distances)))
	}
	snapshot, err := brconfig.NewSnapshot().Apply(1, changes)
	require.NoError(b, err)
	return snapshot
}
