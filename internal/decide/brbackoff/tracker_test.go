package brbackoff_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brbackoff"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

var start = time.Unix(1000, 0)

func newServer(id string, started int64) brfleet.Server {
	return brfleet.NewServer(id, "lookup", "h:1").WithSlots(4).WithStart(started, 0)
}

func quietFor(duration time.Duration) brfleet.ServerReport {
	return brfleet.ServerReport{}.WithRetryAfter(duration)
}

// The list of servers may be stale, or be read again from a VM that has not heard of the
// shutdown: only a later run of the server gets requests.
func TestLeavingServerComesBackOnlyWithALaterRun(t *testing.T) {
	tracker := brbackoff.New("vm-1")
	leaving := brfleet.ServerReport{}.WithLeaving(true)
	require.Equal(t, brbackoff.Left, tracker.Record(start, newServer("i-1", 70), leaving))
	require.Equal(t, brbackoff.Unchanged, tracker.Record(start, newServer("i-1", 70), leaving), "reported once")
	require.True(t, tracker.IsLeaving(newServer("i-1", 70)))
	require.True(t, tracker.IsLeaving(newServer("i-1", 60)), "an earlier run")
	require.False(t, tracker.IsLeaving(newServer("i-1", 80)), "a later run")
	require.False(t, tracker.IsLeaving(newServer("i-2", 70)), "another server at the same address")
}

// Whatever a server asks for and however often, it gets no request before the end of the
// longest time asked for, up to the cap, and soon after it may get one.
func TestQuietTimeIsKeptAndEnds(t *testing.T) {
	const longestTime, longestDelay = 5 * time.Minute, time.Second
	rapid.Check(t, func(t *rapid.T) {
		tracker := brbackoff.New(rapid.SampledFrom([]string{"vm-1", "vm-2", "vm-3"}).Draw(t, "vm"))
		server := newServer("i-1", 70)
		now, asked := start, start
		for range rapid.IntRange(1, 6).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "pause")))
			wanted := time.Duration(rapid.Int64Range(math.MinInt64, math.MaxInt64).Draw(t, "retryAfter"))
			if rapid.Bool().Draw(t, "usual") {
				wanted %= 10 * time.Second
			}
			tracker.Record(now, server, quietFor(wanted))
			if end := now.Add(min(wanted, longestTime)); end.After(asked) {
				asked = end
			}
		}
		until, quiet := tracker.QuietUntil(now, server)
		require.Equal(t, asked.After(now), quiet)
		if quiet {
			require.False(t, until.Before(asked))
			require.LessOrEqual(t, until.Sub(asked), longestDelay)
		}
	})
}

// 300 VMs that were all rejected at once return over a time, not at one moment.
func TestVMsReturnOneAfterTheOther(t *testing.T) {
	const vms = 300
	server := newServer("i-1", 70)
	perTenth := map[time.Duration]int{}
	for i := range vms {
		tracker := brbackoff.New(fmt.Sprint("vm-", i))
		tracker.Record(start, server, quietFor(4*time.Second))
		until, _ := tracker.QuietUntil(start, server)
		perTenth[until.Sub(start).Truncate(100*time.Millisecond)]++
	}
	require.Len(t, perTenth, 10)
	for at, count := range perTenth {
		require.Less(t, count, vms/5, "%d VMs return %v after the rejection", count, at)
	}
}

func TestServerGetsMoreRequestsWithEachAnswerAfterQuietTime(t *testing.T) {
	tracker := brbackoff.New("vm-1")
	server := newServer("i-1", 70)
	tracker.Record(start, server, quietFor(time.Second))
	tracker.RecordAnswer(start.Add(500*time.Millisecond), server)
	_, quiet := tracker.QuietUntil(start.Add(500*time.Millisecond), server)
	require.True(t, quiet, "the answer to a request from before doesn't end the quiet time")
	later := start.Add(3 * time.Second)
	windows := []int{}
	for window, limited := tracker.Window(server); limited; window, limited = tracker.Window(server) {
		windows = append(windows, window)
		tracker.RecordAnswer(later, server)
	}
	require.Equal(t, []int{1, 2, 4}, windows)
	_, limited := tracker.Window(newServer("i-1", 80))
	require.False(t, limited, "a later run of the server asked for nothing")
}
