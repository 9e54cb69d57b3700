package brlookup_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brlookup"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// A locator that is advanced incrementally answers like one that is built from
// the same snapshot.
func TestAdvancedLocatorAnswersLikeFreshOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := apply(t, brconfig.NewSnapshot(), siteChanges(3))
		locator := brlookup.NewLocator(snapshot)
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			for range rapid.IntRange(1, 3).Draw(t, "changes since the last advance") {
				// A change that is rejected leaves the snapshot as it is.
				if next, err := snapshot.Apply(snapshot.Generation()+1, []brconfig.Change{drawChange(t)}); err == nil {
					snapshot = next
				}
			}
			locator = locator.Advance(snapshot)
			client := drawClient(t)
			require.Equal(t, brlookup.NewLocator(snapshot).Locate(client), locator.Locate(client))
		}
	})
}

func drawChange(t *rapid.T) brconfig.Change {
	name := fmt.Sprintf("n%d", rapid.IntRange(0, 4).Draw(t, "name"))
	kind := rapid.SampledFrom([]brconfig.Kind{brconfig.KindBlock, brconfig.KindVM}).Draw(t, "kind")
	if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
		return brconfig.Delete(brconfig.NewReference(kind, name))
	}
	site := fmt.Sprintf("site-%d", rapid.IntRange(0, 2).Draw(t, "site"))
	if kind == brconfig.KindVM {
		return brconfig.Put(brconfig.NewVM(brconfig.NewMeta(name), site, name, name))
	}
	prefix, _ := drawClient(t).Prefix(rapid.IntRange(0, 32).Draw(t, "bits"))
	return brconfig.Put(brconfig.NewBlock(brconfig.NewMeta(name), prefix, []brconfig.Distance{brconfig.NewDistance(site, time.Millisecond)}))
}

func drawClient(t *rapid.T) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(rapid.IntRange(0, 1).Draw(t, "second")), 0, byte(rapid.IntRange(0, 3).Draw(t, "last"))})
}

func apply(t require.TestingT, snapshot *brconfig.Snapshot, changes []brconfig.Change) *brconfig.Snapshot {
	next, err := snapshot.Apply(snapshot.Generation()+1, changes)
	require.NoError(t, err)
	return next
}

func siteChanges(sites int) []brconfig.Change {
	changes := []brconfig.Change{
		brconfig.Put(brconfig.NewRegion(brconfig.NewMeta("region"))),
		brconfig.Put(brconfig.NewDomain(brconfig.NewMeta("domain"), "region")),
	}
	for i := range sites {
		name := fmt.Sprintf("site-%d", i)
		changes = append(changes, brconfig.Put(brconfig.NewSite(brconfig.NewMeta(name), "domain")))
	}
	return changes
}

const (
	benchSites     = 1200
	benchVMs       = 6400
	benchDistances = 8 // per block
)

func benchSnapshot(b *testing.B, blocks int) *brconfig.Snapshot {
	return benchSnapshotOf(b, blocks, benchVMs, benchSites)
}

func benchSnapshotOf(b *testing.B, blocks, vms, sites int) *brconfig.Snapshot {
	changes := siteChanges(sites)
	for i := range vms {
		name := fmt.Sprintf("vm-%d", i)
		changes = append(changes, brconfig.Put(brconfig.NewVM(brconfig.NewMeta(name), fmt.Sprintf("site-%d", i%sites), name, name)))
	}
	for i := range blocks {
		changes = append(changes, brconfig.Put(benchBlockOf(i, 0, sites)))
	}
	return apply(b, brconfig.NewSnapshot(), changes)
}

func benchBlock(i, shift int) brconfig.Block { return benchBlockOf(i, shift, benchSites) }

func benchBlockOf(i, shift, sites int) brconfig.Block {
	distances := []brconfig.Distance{}
	for d := range benchDistances {
		site := fmt.Sprintf("site-%d", (i*7+d*31+shift)%sites)
		distances = append(distances, brconfig.NewDistance(site, time.Duration(d)*time.Millisecond))
	}
	prefix, _ := benchClient(i).Prefix(24)
	return brconfig.NewBlock(brconfig.NewMeta(fmt.Sprintf("block-%d", i)), prefix, distances)
}

func benchClient(i int) netip.Addr {
	var bytes [4]byte
	binary.BigEndian.PutUint32(bytes[:], uint32(i)<<8|0x20000000)
	return netip.AddrFrom4(bytes)
}

func BenchmarkAdvance(b *testing.B) {
	for _, blocks := range []int{1000, 10_000, 110_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			snapshot := benchSnapshot(b, blocks)
			locator := brlookup.NewLocator(snapshot)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				snapshot = apply(b, snapshot, []brconfig.Change{brconfig.Put(benchBlock(i%blocks, i))})
				locator = locator.Advance(snapshot)
			}
		})
	}
}

func BenchmarkAdvanceVM(b *testing.B) {
	for _, vms := range []int{1000, 3200, benchVMs} {
		b.Run(fmt.Sprintf("VMs=%d", vms), func(b *testing.B) {
			snapshot := benchSnapshotOf(b, 10_000, vms, benchSites)
			locator := brlookup.NewLocator(snapshot)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				vm := brconfig.NewVM(brconfig.NewMeta("vm-1"), fmt.Sprintf("site-%d", i%benchSites), "vm-1", "vm-1")
				snapshot = apply(b, snapshot, []brconfig.Change{brconfig.Put(vm)})
				locator = locator.Advance(snapshot)
			}
		})
	}
}

func BenchmarkAdvanceSites(b *testing.B) {
	const blocks = 10_000
	for _, sites := range []int{300, 600, benchSites} {
		b.Run(fmt.Sprintf("sites=%d", sites), func(b *testing.B) {
			snapshot := benchSnapshotOf(b, blocks, benchVMs, sites)
			locator := brlookup.NewLocator(snapshot)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				snapshot = apply(b, snapshot, []brconfig.Change{brconfig.Put(benchBlockOf(i%blocks, i, sites))})
				locator = locator.Advance(snapshot)
			}
		})
	}
}

func BenchmarkRebuild(b *testing.B) {
	for _, blocks := range []int{1000, 10_000, 110_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			snapshot := benchSnapshot(b, blocks)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				brlookup.NewLocator(snapshot)
			}
		})
	}
}

func BenchmarkLocate(b *testing.B) {
	for _, blocks := range []int{1000, 10_000, 110_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			locator := brlookup.NewLocator(benchSnapshot(b, blocks))
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				locator.Locate(benchClient(i % blocks))
			}
		})
	}
}

// BenchmarkMemory measures the live heap of a snapshot and its locator.
func BenchmarkMemory(b *testing.B) {
	for _, blocks := range []int{1000, 10_000, 110_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			for range b.N {
				before := liveHeap()
				snapshot := benchSnapshot(b, blocks)
				configured := liveHeap()
				locator := brlookup.NewLocator(snapshot)
				indexed := liveHeap()
				runtime.KeepAlive(locator)
				runtime.KeepAlive(snapshot)
				b.ReportMetric(configured-before, "snapshot-B")
				b.ReportMetric(indexed-configured, "locator-B")
			}
		})
	}
}

// liveHeap returns the size of the reachable heap objects in bytes.
func liveHeap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
