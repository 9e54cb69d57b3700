package brconnection

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

func TestConnectionsStayWithinBothLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		perAddressLimit := rapid.IntRange(1, 4).Draw(t, "limit per address")
		limiter := NewLimiter(limit, perAddressLimit)
		open := map[netip.Addr]int{}
		total := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			client := netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(1, 4).Draw(t, "client"))})
			if rapid.Bool().Draw(t, "release") {
				if open[client] > 0 {
					open[client]--
					total--
				}
				limiter.Release(client)
			} else {
				want := total < limit && open[client] < perAddressLimit
				require.Equal(t, want, limiter.Acquire(client))
				if want {
					open[client]++
					total++
				}
			}
			require.Equal(t, total, limiter.Total())
		}
		for client, n := range open {
			for range n {
				limiter.Release(client)
			}
		}
		require.Empty(t, limiter.byAddress, "no entries may be left for disconnected clients")
	})
}

func TestOneIPv6NetworkCountsAsOneAddress(t *testing.T) {
	limiter := NewLimiter(10, 1)
	require.True(t, limiter.Acquire(netip.MustParseAddr("2001:db8::1")))
	require.False(t, limiter.Acquire(netip.MustParseAddr("2001:db8::2")))
	require.True(t, limiter.Acquire(netip.MustParseAddr("2001:db8:0:1::1")))
}
