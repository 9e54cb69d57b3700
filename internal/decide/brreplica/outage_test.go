package brreplica_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brreplica"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
)

const (
	pollPause   = 600 * time.Millisecond
	readTimeout = 1500 * time.Millisecond
	readBackoff = 500 * time.Millisecond
)

// failReads lets reads fail from one time to another, each after the given duration, and
// returns the time of the first read after that.
func failReads(r *brreplica.Replica, from, until time.Time, duration time.Duration) time.Time {
	now := from
	for now.Before(until) {
		r.RecordFailedRead(now, now.Add(duration))
		now = now.Add(duration + readBackoff)
	}
	return now
}

func newReplica(t *testing.T) *brreplica.Replica {
	t.Helper()
	r := brreplica.New(textDecoder{})
	r.Apply(start, serverBatch(1, true, map[string]string{"i-1": "ready", "i-2": "ready"}), start)
	return r
}

// registerVMs registers two VMs.
func registerVMs(r *brreplica.Replica) {
	records := []brrecord.Record{brrecord.New(brrecord.AreaVMs, "vm-1", 1, nil), brrecord.New(brrecord.AreaVMs, "vm-2", 1, nil)}
	r.Apply(start, brrecord.NewBatch(brrecord.AreaVMs, records, 1, true), start)
}

// follow applies what a replica has to another one.
func follow(r, source *brreplica.Replica, now time.Time) {
	asOf, _ := source.AsOf(brrecord.AreaServers)
	for _, b := range source.Since(r.Revisions()) {
		if b.Area() == brrecord.AreaServers {
			r.Apply(now, b, asOf)
		}
	}
}

// Guards against sending to servers that have left (DRAIN): when the VM that reads the
// store is lost, those that take over have a gap, although the store was available.
func TestLostReaderIsNoOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := brreplica.New(textDecoder{})
		r.Apply(start, serverBatch(1, true, map[string]string{"i-1": "ready", "i-2": "ready"}), start)
		gap := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "gap"))
		back := start.Add(gap)
		if rapid.Bool().Draw(t, "follows") {
			reader := brreplica.New(textDecoder{})
			reader.Apply(back, serverBatch(9, true, map[string]string{"i-1": "ready"}), back)
			follow(r, reader, back.Add(10*time.Millisecond))
		} else {
			r.Apply(back, serverBatch(9, false, map[string]string{"i-2": ""}), back)
		}
		require.Equal(t, []string{"i-1"}, serverIDs(r.View(back)))
	})
}

// Guards the purpose of the grace period: after an outage of the store in which entries
// expired, each VM uses these servers on, whether it reads the store or follows another VM.
func TestOutageKeepsServersOnAllVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := brreplica.New(textDecoder{}), brreplica.New(textDecoder{})
		reader.Apply(start, serverBatch(1, true, map[string]string{"i-1": "ready", "i-2": "ready"}), start)
		follow(follower, reader, start)
		down := time.Duration(rapid.Int64Range(int64(3*time.Second), int64(time.Minute)).Draw(t, "down"))
		duration := time.Duration(rapid.SampledFrom([]int64{0, int64(20 * time.Millisecond), int64(readTimeout)}).Draw(t, "failsAfter"))
		back := failReads(reader, start.Add(pollPause), start.Add(down), duration)
		reader.Apply(back, serverBatch(9, true, map[string]string{}), back)
		follow(follower, reader, back.Add(10*time.Millisecond))
		for _, r := range []*brreplica.Replica{reader, follower} {
			require.Equal(t, []string{"i-1", "i-2"}, serverIDs(r.View(back.Add(2*time.Second))))
			require.Empty(t, serverIDs(r.View(back.Add(3*time.Second))))
		}
	})
}

// A VM that restarted during the outage doesn't know of it. VMs that follow it know of it
// from their own failed reads.
func TestOutageIsKnownFromOwnReads(t *testing.T) {
	r, restarted := newReplica(t), brreplica.New(textDecoder{})
	back := failReads(r, start.Add(pollPause), start.Add(5*time.Second), readTimeout)
	restarted.Apply(back, serverBatch(9, true, map[string]string{"i-1": "ready"}), back)
	follow(r, restarted, back.Add(10*time.Millisecond))
	require.Equal(t, []string{"i-1", "i-2"}, serverIDs(r.View(back)))
}

// A VM that the store rejects, or that is cut off from it, learns from another VM that the
// store was available.
func TestFailedReadsOfOneVMAreNoOutage(t *testing.T) {
	rejected, reader := newReplica(t), newReplica(t)
	back := failReads(rejected, start.Add(pollPause), start.Add(5*time.Second), 0)
	for now := start; now.Before(back); now = now.Add(pollPause) {
		reader.Apply(now, serverBatch(2, false, nil), now)
	}
	reader.Apply(back, serverBatch(9, false, map[string]string{"i-2": ""}), back)
	follow(rejected, reader, back.Add(10*time.Millisecond))
	require.Equal(t, []string{"i-1"}, serverIDs(rejected.View(back)))
}

// A VM that was cut off from all others and from the store reads the store first when the
// links are back.
func TestCutOffVMSeesNoOutage(t *testing.T) {
	r := newReplica(t)
	registerVMs(r)
	back := failReads(r, start.Add(pollPause), start.Add(8*time.Second), readTimeout)
	r.Apply(back, serverBatch(9, false, map[string]string{"i-2": ""}), back)
	require.Equal(t, []string{"i-1"}, serverIDs(r.View(back)))
}

// Where other VMs answer but don't reach the store either, the store is unavailable.
func TestOutageIsKnownWhileOtherVMsAnswer(t *testing.T) {
	r := newReplica(t)
	registerVMs(r)
	back := failReads(r, start.Add(pollPause), start.Add(8*time.Second), readTimeout)
	r.RecordPeer(start.Add(4 * time.Second))
	r.Apply(back, serverBatch(9, false, map[string]string{"i-2": ""}), back)
	require.Equal(t, []string{"i-1", "i-2"}, serverIDs(r.View(back)))
}

// One read that times out on a broken connection, or during which the VM was suspended, is
// no outage.
func TestOneFailedReadIsNoOutage(t *testing.T) {
	for _, duration := range []time.Duration{readTimeout, 2 * time.Second, 10 * time.Second} {
		r := newReplica(t)
		end := start.Add(pollPause + duration)
		r.RecordFailedRead(start.Add(pollPause), end)
		back := end.Add(readBackoff / 2)
		change := r.Apply(back, serverBatch(9, false, map[string]string{"i-2": ""}), back)
		require.Positive(t, change.Gap().Length())
		require.False(t, change.Gap().IsOutage())
		require.Equal(t, []string{"i-1"}, serverIDs(r.View(back)), "read of %v", duration)
	}
}

// A VM that assumed an outage drops the servers that it kept as soon as another VM shows that
// the store was available.
func TestAvailableStoreEndsGracePeriod(t *testing.T) {
	r, reader := newReplica(t), newReplica(t)
	back := failReads(r, start.Add(pollPause), start.Add(5*time.Second), 0)
	r.Apply(back, serverBatch(9, false, map[string]string{"i-2": ""}), back)
	require.Equal(t, []string{"i-1", "i-2"}, serverIDs(r.View(back)))
	for now := start; now.Before(back); now = now.Add(pollPause) {
		reader.Apply(now, serverBatch(2, false, nil), now)
	}
	now := back.Add(pollPause)
	reader.Apply(now, serverBatch(10, false, nil), now)
	follow(r, reader, now)
	require.Equal(t, []string{"i-1"}, serverIDs(r.View(now)))
}

// A VM that lost the store when the outage began knows nothing of what followed: its coverage
// ends before the outage.
func TestStaleVMDoesNotEndGracePeriod(t *testing.T) {
	r, stale := newReplica(t), newReplica(t)
	stale.Apply(start.Add(pollPause), serverBatch(9, false, map[string]string{"i-1": "ready"}), start.Add(pollPause))
	back := failReads(r, start.Add(pollPause), start.Add(5*time.Second), 0)
	r.Apply(back, serverBatch(9, false, map[string]string{"i-2": ""}), back)
	follow(r, stale, back)
	require.Equal(t, []string{"i-1", "i-2"}, serverIDs(r.View(back)))
}
