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

// A poison request that is sent repeatedly crashes at most two servers, and none of
// the harmless requests that run concurrently is refused.
func TestPoisonCrashesAtMostTwoServersWithSerialPolicy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		detector := brpoison.NewDetector[brpoison.SerialPolicy]()
		now := start
		crashes := 0
		for range 100 {
			now = now.Add(time.Second)
			concurrent := []brrequest.Fingerprint{}
			for range rapid.IntRange(0, 3).Draw(t, "concurrent requests") {
				f := fingerprintOf(fmt.Sprint("/harmless/", rapid.IntRange(0, 5).Draw(t, "harmless request")))
				verdict := detector.Begin(now, f)
				require.NotEqual(t, brpoison.Refused, verdict)
				if verdict == brpoison.Admitted {
					concurrent = append(concurrent, f)
				}
			}
			if detector.Begin(now, fingerprintOf("/poison")) != brpoison.Admitted {
				for _, f := range concurrent {
					detector.RecordCompletion(now, f)
				}
				continue
			}
			crashes++
			server := fmt.Sprint("server-", crashes)
			for _, f := range append(concurrent, fingerprintOf("/poison")) {
				detector.RecordCrash(now, f, server)
			}
		}
		require.LessOrEqual(t, crashes, 2)
	})
}

func TestRefusalEndsAndIsLifted(t *testing.T) {
	detector := brpoison.NewDetector[brpoison.SerialPolicy]()
	poison := fingerprintOf("/poison")
	require.Equal(t, brpoison.Suspected, detector.RecordCrash(start, poison, "a"))
	require.Equal(t, brpoison.Suspected, detector.RecordCrash(start, poison, "a"), "a second crash of the same server does not count")
	require.Equal(t, brpoison.Confirmed, detector.RecordCrash(start, poison, "b"))
	require.Equal(t, brpoison.Refused, detector.Begin(start, poison))
	require.Len(t, detector.Refusals(start), 1)
	require.Equal(t, brpoison.Admitted, detector.Begin(start.Add(time.Hour), poison))
	require.True(t, detector.Lift(start, poison))
	require.Equal(t, brpoison.Admitted, detector.Begin(start, poison))
}

// Callers repeat a poison request continuously while other callers repeat a
// harmless one. The poison request crashes three servers, and the harmless request
// is neither refused nor delayed.
func TestPoisonIsRefusedAfterThreeCrashesWithoutDelays(t *testing.T) {
	detector := brpoison.NewDetector[brpoison.ConcurrentPolicy]()
	popular := fingerprintOf("/popular")
	now := start
	crashes := 0
	for i := range 100 {
		now = now.Add(50 * time.Millisecond)
		require.Equal(t, brpoison.Admitted, detector.Begin(now, popular))
		if detector.Begin(now, fingerprintOf("/poison")) == brpoison.Admitted {
			crashes++
			detector.RecordCrash(now, fingerprintOf("/poison"), fmt.Sprint("server-", crashes))
			detector.RecordCrash(now, popular, fmt.Sprint("server-", crashes))
		}
		if i%3 == 1 {
			detector.RecordCompletion(now, popular)
		}
	}
	require.Equal(t, 3, crashes)
}

func TestCompletionClearsForLimitedTime(t *testing.T) {
	detector := brpoison.NewDetector[brpoison.ConcurrentPolicy]()
	f := fingerprintOf("/entries")
	require.Equal(t, brpoison.Suspected, detector.RecordCrash(start, f, "a"))
	require.Equal(t, []string{"a"}, detector.RecordCompletion(start, f), "the request was a suspect")
	require.Empty(t, detector.RecordCompletion(start, f))
	require.Equal(t, brpoison.Cleared, detector.RecordCrash(start.Add(time.Second), f, "b"))
	later := start.Add(time.Minute)
	require.Equal(t, brpoison.Suspected, detector.RecordCrash(later, f, "c"))
	require.Equal(t, brpoison.Suspected, detector.RecordCrash(later, f, "d"))
	require.Equal(t, brpoison.Confirmed, detector.RecordCrash(later, f, "e"))
	require.Equal(t, brpoison.Refused, detector.Begin(later, f))
}

func TestClearanceMayArriveBeforeTheCrashThatItRefersTo(t *testing.T) {
	detector := brpoison.NewDetector[brpoison.ConcurrentPolicy]()
	f := fingerprintOf("/entries")
	require.False(t, detector.Clear(start, f, "a"))
	for _, server := range []string{"a", "b", "c"} {
		require.Equal(t, brpoison.Suspected, detector.RecordCrash(start, f, server))
	}
	require.Equal(t, brpoison.Confirmed, detector.RecordCrash(start, f, "d"), "the crashes of b, c and d are not cleared")
	require.True(t, detector.Clear(start, f, "d"))
	require.Equal(t, brpoison.Admitted, detector.Begin(start, f))
	detector.Expire(start.Add(time.Hour))
	require.Equal(t, brpoison.Suspected, detector.RecordCrash(start.Add(time.Hour), f, "a"))
}

// Guards against a VM that starts later and doesn't know what crashed servers before, and
// against VMs that renew each other's refusals or bring back what was lifted.
func TestCasesAreAdoptedForTheTimeThatRemains(t *testing.T) {
	old, fresh := brpoison.NewDetector[brpoison.ConcurrentPolicy](), brpoison.NewDetector[brpoison.ConcurrentPolicy]()
	poison, twice, once := fingerprintOf("/poison"), fingerprintOf("/twice"), fingerprintOf("/once")
	for _, server := range []string{"a", "b", "c"} {
		old.RecordCrash(start, poison, server)
	}
	old.RecordCrash(start, twice, "a")
	old.RecordCrash(start, twice, "b")
	old.RecordCrash(start, once, "a")
	later := start.Add(time.Minute)
	cases := old.Cases(later)
	require.Len(t, cases, 2, "one crash alone is not passed on")
	require.Equal(t, brpoison.Confirmed, fresh.Adopt(later, cases[0]))
	require.Equal(t, brpoison.Suspected, fresh.Adopt(later, cases[1]))
	require.Equal(t, brpoison.Refused, fresh.Begin(later, poison))
	require.Equal(t, old.Refusals(later), fresh.Refusals(later))
	require.Equal(t, brpoison.Cleared, fresh.Adopt(later, brrequest.NewRefusedCase(poison, later.Add(time.Hour))), "it is known already")
	require.Equal(t, brpoison.Confirmed, fresh.RecordCrash(later, twice, "c"), "the third crash counts on the VM that adopted two")
	fresh.Lift(later, poison)
	require.Equal(t, brpoison.Cleared, fresh.Adopt(later, cases[0]), "it was lifted here")
	require.Equal(t, brpoison.Admitted, fresh.Begin(later, poison))
	end := start.Add(10*time.Minute - time.Second)
	require.Equal(t, brpoison.Cleared, brpoison.NewDetector[brpoison.ConcurrentPolicy]().Adopt(end, cases[0]), "it is about to end")
}
