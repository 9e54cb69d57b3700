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
		most := rapid.IntRange(1, 8).Draw(t, "most")
		one := rapid.IntRange(1, 4).Draw(t, "of one address")
		c := NewLimiter(most, one)
		held := map[netip.Addr]int{}
		total := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			client := netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(1, 4).Draw(t, "client"))})
			if rapid.Bool().Draw(t, "release") {
				if held[client] > 0 {
					held[client]--
					total--
				}
				c.Release(client)
			} else {
				want := total < most && held[client] < one
				require.Equal(t, want, c.Take(client))
				if want {
					held[client]++
					total++
				}
			}
			require.Equal(t, total, c.Total())
		}
		for client, n := range held {
			for range n {
				c.Release(client)
			}
		}
		require.Empty(t, c.byAddress, "no entries may be left for disconnected clients")
	})
}

func TestOneIPv6NetworkCountsAsOneAddress(t *testing.T) {
	c := NewLimiter(10, 1)
	require.True(t, c.Take(netip.MustParseAddr("2001:db8::1")))
	require.False(t, c.Take(netip.MustParseAddr("2001:db8::2")))
	require.True(t, c.Take(netip.MustParseAddr("2001:db8:0:1::1")))
}
