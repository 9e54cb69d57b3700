package brbandwidth_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/decide/brlink"
	"bergamotroad.example/bergamotroad/internal/duty/brbandwidth"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/standin/brobserver"
)

// snapshotWithLink returns a configuration with two VMs in the sending region.
func snapshotWithLink(t *testing.T, bytesPerSecond int64) *brconfig.Snapshot {
	t.Helper()
	meta := brconfig.NewMeta
	resources := []brconfig.Resource{
		brconfig.NewRegion(meta("montevideo")),
		brconfig.NewRegion(meta("este")),
		brconfig.NewDomain(meta("montevideo-a"), "montevideo"),
		brconfig.NewDomain(meta("montevideo-b"), "montevideo"),
		brconfig.NewDomain(meta("este-a"), "este"),
		brconfig.NewSite(meta("site-a"), "montevideo-a"),
		brconfig.NewSite(meta("site-b"), "montevideo-b"),
		brconfig.NewVM(meta("vm-1"), "site-a", "127.0.0.1:1", "127.0.0.1:2"),
		brconfig.NewVM(meta("vm-2"), "site-b", "127.0.0.1:3", "127.0.0.1:4"),
		brconfig.NewLink(meta("to-este"), "montevideo", "este", bytesPerSecond, 12*time.Millisecond),
	}
	changes := []brconfig.Change{}
	for _, r := range resources {
		changes = append(changes, brconfig.Put(r))
	}
	snapshot, err := brconfig.NewSnapshot().Apply(1, changes)
	require.NoError(t, err)
	return snapshot
}

// With two VMs in its region, a VM sends at half the bandwidth of the link; traffic
// within the region is not limited.
func TestVMSendsAtItsShareOfTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := brclock.NewSystem()
		limiter := brbandwidth.New("montevideo-a", clock)
		group := brduty.NewGroup(t.Context(), clock, brobserver.Nop{})
		group.Start(limiter.Duty())
		defer group.Stop()
		const bytesPerSecond = 20 * brlink.MaxChunk
		require.NoError(t, limiter.Snapshots().Send(snapshotWithLink(t, bytesPerSecond)))
		synctest.Wait()
		started := time.Now()
		for range 50 {
			require.NoError(t, limiter.Wait(t.Context(), "este-a", "extract", brlink.MaxChunk))
		}
		require.InDelta(t, 5, time.Since(started).Seconds(), 0.001)
		for range 50 {
			require.NoError(t, limiter.Wait(t.Context(), "montevideo-b", "extract", brlink.MaxChunk))
		}
		require.InDelta(t, 5, time.Since(started).Seconds(), 0.001)
	})
}

// Callers leave while their chunks wait for the link. The chunks are not sent, so they must
// neither use the link's bytes nor keep its queue full.
func TestChunksOfCallersThatLeftUseNoBandwidth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := brclock.NewSystem()
		limiter := brbandwidth.New("montevideo-a", clock)
		group := brduty.NewGroup(t.Context(), clock, brobserver.Nop{})
		group.Start(limiter.Duty())
		defer group.Stop()
		const bytesPerSecond = 20 * brlink.MaxChunk
		require.NoError(t, limiter.Snapshots().Send(snapshotWithLink(t, bytesPerSecond)))
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		for i := range 5000 { // more than the queue holds
			go func() { _ = limiter.Wait(ctx, "este-a", fmt.Sprint("stream-", i), brlink.MaxChunk) }()
			synctest.Wait()
		}
		cancel()
		synctest.Wait()
		started := time.Now()
		require.NoError(t, limiter.Wait(t.Context(), "este-a", "extract", brlink.MaxChunk))
		// One chunk takes 0.1 s, and the one of a caller that left may be paid for already.
		require.LessOrEqual(t, time.Since(started), 200*time.Millisecond)
	})
}
