package brmove_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brmove"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

const (
	faultTime = 4 * time.Minute  // period in which VMs crash and are partitioned
	isolation = 30 * time.Second // partition of a VM beyond the move's end time
)

// drawFaults may partition a VM or restart it.
func (w *world) drawFaults(t *rapid.T, v *vm) {
	if w.now.Sub(w.start) > faultTime {
		return
	}
	switch rapid.IntRange(0, 200).Draw(t, "fault") {
	case 133:
		v.cutUntil = w.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "cut")) * time.Second)
	case 77:
		// A VM that restarts serves no requests before it has the latest record.
		v.gate = brmove.NewGate(w.now, w.record)
		v.known, v.writes, v.cutUntil = w.generation, nil, time.Time{}
	}
}

// checkPlaced fails if a VM sent a request to the new version although the state of
// the move or its cap forbids it.
func (w *world) checkPlaced(t *rapid.T, v *vm, wasBraked bool, version string) {
	known := v.gate.Move()
	if known.State() == brconfig.MoveDone {
		return
	}
	v.placed++
	share, _ := w.record.Cap().Rat().Float64()
	v.leastOver = min(v.leastOver, v.over)
	v.over -= share
	if version != newVersion {
		return
	}
	v.moved++
	v.over++
	isTold := w.now.After(v.cutUntil.Add(spreadMost * worldStep))
	isOver := !w.endedAt.IsZero() && w.now.Sub(w.endedAt) > spreadMost*worldStep
	require.False(t, isTold && isOver, "request to the new version after the move was undone")
	require.Equal(t, brconfig.MoveRunning, known.State(), "request to the new version in state %s", known.State())
	require.True(t, w.now.Before(known.By()), "request to the new version after the end time of the move")
	require.False(t, wasBraked, "request to the new version after the VM stopped them")
	require.LessOrEqual(t, v.over-v.leastOver, float64(len(w.routes))+1e-6, "the requests of one VM in a window exceed the cap")
	require.LessOrEqual(t, float64(v.moved), share*float64(v.placed)+1e-6, "the requests of one VM exceed the cap")
}

func drawWorld(t *rapid.T) *world {
	limits := []brunit.Amount{brunit.New(1, 10), brunit.New(1, 3), brunit.New(7, 20), brunit.New(1, 1)}
	limit := rapid.SampledFrom(limits).Draw(t, "cap")
	lasts := brmove.Needed(limit) + 2*faultTime
	w := newWorld(limit, lasts, rapid.IntRange(1, 4).Draw(t, "VMs"), rapid.IntRange(40, 60).Draw(t, "rate"), rapid.Uint64().Draw(t, "seed"))
	w.bad = rapid.SampledFrom([]badness{good, badAtOnce, badLater, badLoad, badOneRoute, badSlow}).Draw(t, "badness")
	if w.bad == badLater {
		w.badFrom = w.start.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "bad from")) * time.Second)
	}
	stop := w.start.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "measurements stop")) * time.Second)
	w.noMeasures = [2]time.Time{stop, stop.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "for")) * time.Second)}
	w.stuck = rapid.IntRange(0, 3).Draw(t, "stuck") == 3
	if w.stuck {
		stop := w.start.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "stuck from")) * time.Second)
		w.noMeasures = [2]time.Time{stop, w.record.By().Add(time.Hour)}
	}
	return w
}

// isolate partitions the first VM of a stuck move until after the move's end time.
func (w *world) isolate() {
	if w.stuck && w.now.Sub(w.start) > faultTime {
		w.vms[0].cutUntil = w.record.By().Add(isolation)
	}
}

func (w *world) step(t *rapid.T) {
	w.isolate()
	for _, v := range w.vms {
		w.drawFaults(t, v)
		w.tell(v, rapid.Bool().Draw(t, "delayed update"))
		for range w.rate {
			for _, route := range w.routes {
				wasBraked := v.gate.Braked() != ""
				w.checkPlaced(t, v, wasBraked, w.place(v, route))
			}
		}
		w.propose(t, v)
	}
	w.now = w.now.Add(worldStep)
}

// While VMs crash, are partitioned and get updates late, no VM exceeds the cap, a
// move ends exactly once and by its end time, a move to a bad version is undone,
// and a move to a good version is done.
func TestMoveKeepsItsCapAndEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		end := w.record.By().Add(2 * time.Minute)
		for w.now.Before(end) {
			w.step(t)
			if !w.endedAt.IsZero() && w.now.Sub(w.endedAt) > 100*time.Second {
				break
			}
		}
		require.Len(t, w.finals, 1, "the move ended %v", w.finals)
		if w.stuck {
			require.Equal(t, brconfig.MoveUndone, w.finals[0], "move without measurements")
		} else if w.bad == good {
			require.Equal(t, brconfig.MoveDone, w.finals[0], "good version: %s", w.record.Reason())
			require.True(t, w.endedAt.Before(w.record.By()))
		} else if w.bad != badLater || w.badFrom.Before(w.endedAt.Add(-time.Minute)) {
			require.Equal(t, brconfig.MoveUndone, w.finals[0], "version that is bad %s", w.bad)
		}
		for _, v := range w.vms {
			require.Equal(t, w.record.State(), v.gate.Move().State())
			expected := oldVersion
			if w.finals[0] == brconfig.MoveDone {
				expected = newVersion
			}
			require.Equal(t, []string{expected}, v.gate.Choose(w.now, w.routes[0]))
		}
	})
}

// A move is refused if its steps take longer than its duration, or if its service
// lacks a server of one of the versions.
func TestMoveThatCannotFitIsRefused(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	limit := brunit.New(1, 2)
	move := brconfig.NewMove(brconfig.NewMeta("m"), "lookup", oldVersion, newVersion).WithCap(limit)
	resources := []brconfig.Change{
		brconfig.Put(brconfig.NewRegion(brconfig.NewMeta("r"))),
		brconfig.Put(brconfig.NewDomain(brconfig.NewMeta("a"), "r")),
		brconfig.Put(brconfig.NewService(brconfig.NewMeta("lookup"))),
		brconfig.Put(brconfig.NewServer(brconfig.NewMeta("s1"), "lookup", "a", "127.0.0.1:1", 3).WithVersion(oldVersion)),
		brconfig.Put(brconfig.NewServer(brconfig.NewMeta("s2"), "lookup", "a", "127.0.0.1:2", 3).WithVersion(newVersion)),
	}
	check := func(m brconfig.Move) error {
		changes := append(resources[:len(resources):len(resources)], brconfig.Put(m))
		snapshot, err := brconfig.NewSnapshot().Apply(1, changes)
		require.NoError(t, err)
		return brmove.CheckChanged(now, snapshot, changes)
	}
	needed := brmove.Needed(limit)
	require.NoError(t, check(move.WithTimes(now, now.Add(needed))))
	require.True(t, brmove.IsErrInfeasible(check(move.WithTimes(now, now.Add(needed-1)))))
	require.True(t, brmove.IsErrInfeasible(check(move.WithTimes(now.Add(-time.Hour), now.Add(needed-1)))))
	other := brconfig.NewMove(brconfig.NewMeta("m"), "lookup", oldVersion, "v3").WithCap(limit)
	require.True(t, brmove.IsErrInfeasible(check(other.WithTimes(now, now.Add(time.Hour)))))
}
