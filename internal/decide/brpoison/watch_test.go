package brpoison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brpoison"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func fingerprintOf(name string) brrequest.Fingerprint {
	return brrequest.NewFingerprint("entries", "POST", name, nil, 0)
}

// A poison request that is sent again and again costs two servers, whatever
// innocent requests run beside it, and none of those is refused.
func TestPoisonCostsTwoServersAndNoInnocents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		watch := brpoison.NewWatch()
		now := start
		lost := 0
		for range 100 {
			now = now.Add(time.Second)
			beside := []brrequest.Fingerprint{}
			for range rapid.IntRange(0, 3).Draw(t, "beside") {
				f := fingerprintOf(fmt.Sprint("/innocent/", rapid.IntRange(0, 5).Draw(t, "innocent")))
				verdict := watch.Begin(now, f)
				require.NotEqual(t, brpoison.Refused, verdict)
				if verdict == brpoison.Runs {
					beside = append(beside, f)
				}
			}
			if watch.Begin(now, fingerprintOf("/poison")) != brpoison.Runs {
				for _, f := range beside {
					watch.Ran(f)
				}
				continue
			}
			lost++
			server := fmt.Sprint("server-", lost)
			for _, f := range append(beside, fingerprintOf("/poison")) {
				watch.Killed(now, f, server)
			}
		}
		require.LessOrEqual(t, lost, 2)
	})
}

func TestRefusalEndsAndIsLifted(t *testing.T) {
	watch := brpoison.NewWatch()
	poison := fingerprintOf("/poison")
	require.False(t, watch.Killed(start, poison, "a"))
	require.False(t, watch.Killed(start, poison, "a"), "the same server says nothing new")
	require.True(t, watch.Killed(start, poison, "b"))
	require.Equal(t, brpoison.Refused, watch.Begin(start, poison))
	require.Len(t, watch.Refusals(start), 1)
	require.Equal(t, brpoison.Runs, watch.Begin(start.Add(time.Hour), poison))
	require.True(t, watch.Lift(start, poison))
	require.Equal(t, brpoison.Runs, watch.Begin(start, poison))
}
