package brlockout_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brlockout"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

var start = time.Date(2026, time.December, 4, 0, 0, 0, 0, time.UTC)

// However the guesses are timed, at most 20 keys of a source and 10 more per
// minute are checked.
func TestCheckedGuessesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := brlockout.NewLimiter()
		client := netip.MustParseAddr("192.0.2.7")
		now, checked := start, 0
		for range rapid.IntRange(1, 400).Draw(t, "guesses") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "milliseconds")) * time.Millisecond)
			if _, blocked := limiter.Blocked(client, brrequest.HashKey("guess"), now); blocked {
				continue
			}
			checked++
			limiter.RecordFailure(client, now)
			require.LessOrEqual(t, float64(checked), 20+10*now.Sub(start).Minutes())
		}
	})
}

func TestValidKeyIsAcceptedFromBlockedSource(t *testing.T) {
	limiter := brlockout.NewLimiter()
	client := netip.MustParseAddr("2001:db8::1")
	valid := brrequest.HashKey("good")
	limiter.RecordSuccess(client, valid)
	for range 50 {
		limiter.RecordFailure(netip.MustParseAddr("2001:db8::ffff"), start)
	}
	_, blocked := limiter.Blocked(client, valid, start)
	require.False(t, blocked)
	wait, blocked := limiter.Blocked(client, brrequest.HashKey("other"), start)
	require.True(t, blocked, "addresses of one /64 count as one source")
	require.Equal(t, 6*time.Second, wait)
	_, blocked = limiter.Blocked(client, brrequest.HashKey("other"), start.Add(wait))
	require.False(t, blocked)
}

func TestMemoryIsBounded(t *testing.T) {
	limiter := brlockout.NewLimiter()
	address := netip.MustParseAddr("10.0.0.0")
	first := address
	for range 20 {
		limiter.RecordFailure(first, start)
	}
	for range 20_000 {
		address = address.Next()
		limiter.RecordFailure(address, start)
	}
	_, blocked := limiter.Blocked(first, brrequest.HashKey("guess"), start)
	require.False(t, blocked, "the least recently used source is evicted")
}
