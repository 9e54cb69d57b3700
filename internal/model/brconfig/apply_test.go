package brconfig_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

func drawChange(t *rapid.T) brconfig.Change {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	other := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "other")
	kind := rapid.SampledFrom([]brconfig.Kind{brconfig.KindRegion, brconfig.KindDomain, brconfig.KindLink, brconfig.KindOrganisation, brconfig.KindKey}).Draw(t, "kind")
	if rapid.Bool().Draw(t, "delete") {
		return brconfig.Delete(brconfig.NewReference(kind, name))
	}
	meta := brconfig.NewMeta(name).WithTeam(rapid.SampledFrom([]string{"", "azul"}).Draw(t, "team"))
	switch kind {
	case brconfig.KindRegion:
		return brconfig.Put(brconfig.NewRegion(meta))
	case brconfig.KindDomain:
		return brconfig.Put(brconfig.NewDomain(meta, other))
	case brconfig.KindLink:
		return brconfig.Put(brconfig.NewLink(meta, other, "a", 1, 0))
	case brconfig.KindOrganisation:
		return brconfig.Put(brconfig.NewOrganisation(meta))
	default:
		return brconfig.Put(brconfig.NewKey(meta, other, other))
	}
}

// requireIndexMatches scans all resources of the snapshot and compares the result with its index.
func requireIndexMatches(t *rapid.T, s *brconfig.Snapshot) {
	teamCounts := map[string]int{}
	owners := map[string]string{}
	for _, kind := range s.Kinds() {
		for r := range s.All(kind) {
			teamCounts[r.Team()]++
			for _, target := range r.References() {
				require.True(t, s.Get(target).IsPresent(), "%s of %s", target, r.Name())
			}
			if k, ok := r.(brconfig.Key); ok {
				require.NotContains(t, owners, k.Hash())
				owners[k.Hash()] = k.Name()
				owner, _ := s.UniqueValueOwner(brconfig.NewUniqueValue("key hash", k.Hash())).Get()
				require.Equal(t, k.Name(), owner.Name())
			}
		}
	}
	for _, team := range []string{"", "azul"} {
		require.Equal(t, teamCounts[team], s.CountOwnedBy(team))
	}
}

// After every accepted random change the index must match a full scan, and Apply
// may fail only with ErrDangling or ErrNotUnique. The index is updated incrementally,
// so an update that is missed would otherwise go unnoticed.
func TestIndexAgreesWithResources(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := brconfig.NewSnapshot()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			changes := rapid.SliceOfN(rapid.Custom(drawChange), 1, 4).Draw(t, "changes")
			next, err := snapshot.Apply(snapshot.Generation()+1, changes)
			if err != nil {
				require.True(t, brconfig.IsErrDangling(err) || brconfig.IsErrNotUnique(err), "%v", err)
				continue
			}
			requireIndexMatches(t, next)
			snapshot = next
		}
	})
}

func TestDeleteOfReferencedResourceIsRefused(t *testing.T) {
	snapshot, err := brconfig.NewSnapshot().Apply(1, []brconfig.Change{
		brconfig.Put(brconfig.NewRegion(brconfig.NewMeta("este"))),
		brconfig.Put(brconfig.NewDomain(brconfig.NewMeta("este-a"), "este")),
	})
	require.NoError(t, err)
	_, err = snapshot.Apply(2, []brconfig.Change{brconfig.Delete(brconfig.NewReference(brconfig.KindRegion, "este"))})
	require.True(t, brconfig.IsErrDangling(err))
	_, err = snapshot.Apply(2, []brconfig.Change{
		brconfig.Delete(brconfig.NewReference(brconfig.KindRegion, "este")),
		brconfig.Delete(brconfig.NewReference(brconfig.KindDomain, "este-a")),
	})
	require.NoError(t, err)
}

const benchmarkSites = 1200

func largeSnapshot(b *testing.B, blocks int) *brconfig.Snapshot {
	b.Helper()
	changes := []brconfig.Change{
		brconfig.Put(brconfig.NewRegion(brconfig.NewMeta("r"))),
		brconfig.Put(brconfig.NewDomain(brconfig.NewMeta("d"), "r")),
	}
	for i := range benchmarkSites {
		changes = append(changes, brconfig.Put(brconfig.NewSite(brconfig.NewMeta(fmt.Sprint("s", i)), "d")))
	}
	for i := range blocks {
		changes = append(changes, brconfig.Put(benchmarkBlock(i, 0)))
	}
	snapshot, err := brconfig.NewSnapshot().Apply(1, changes)
	require.NoError(b, err)
	return snapshot
}

func benchmarkBlock(i, shift int) brconfig.Block {
	distances := []brconfig.Distance{}
	for k := range 8 {
		distances = append(distances, brconfig.NewDistance(fmt.Sprint("s", (i+k+shift)%benchmarkSites), time.Millisecond))
	}
	address := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
	return brconfig.NewBlock(brconfig.NewMeta(fmt.Sprint("b", i)), netip.PrefixFrom(address, 32), distances)
}

func BenchmarkApply(b *testing.B) {
	for _, blocks := range []int{1_000, 10_000, 110_000} {
		snapshot := largeSnapshot(b, blocks)
		b.Run(fmt.Sprintf("put/blocks=%d", blocks), func(b *testing.B) {
			for i := range b.N {
				_, err := snapshot.Apply(2, []brconfig.Change{brconfig.Put(benchmarkBlock(i%blocks, i))})
				require.NoError(b, err)
			}
		})
		b.Run(fmt.Sprintf("delete/blocks=%d", blocks), func(b *testing.B) {
			for i := range b.N {
				_, err := snapshot.Apply(2, []brconfig.Change{brconfig.Delete(brconfig.NewReference(brconfig.KindBlock, fmt.Sprint("b", i%blocks)))})
				require.NoError(b, err)
			}
		})
	}
}
