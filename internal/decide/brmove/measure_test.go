package brmove_test

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brmove"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

const (
	measuredVMs  = 10
	measuredRate = 20               // requests per second, VM and route
	blindStep    = 22 * time.Second // step of a move that advances without checks
)

// seeds is the number of runs for each row of the measurements.
var seeds = flag.Int("seeds", 2, "runs of each measurement")

// run simulates a move until one minute after its end.
func (w *world) run() {
	for w.now.Before(w.record.By().Add(time.Minute)) {
		for _, v := range w.vms {
			w.tell(v, true)
			for range w.rate {
				for _, route := range w.routes {
					w.place(v, route)
				}
			}
			if !w.brakeless {
				w.propose(nil, v)
			}
		}
		if w.brakeless {
			w.advanceBlindly()
		}
		w.now = w.now.Add(worldStep)
		if !w.endedAt.IsZero() && w.now.Sub(w.endedAt) > time.Minute {
			return
		}
	}
}

// advanceBlindly starts each step at a fixed time, whatever the outcomes are.
func (w *world) advanceBlindly() {
	steps := len(brmove.Steps(w.record.Cap()))
	step := int(w.now.Sub(w.start) / blindStep)
	if step < steps && (w.record.State() == brconfig.MovePlanned || step > w.record.Step()) {
		w.record = w.record.WithState(brconfig.MoveRunning, step, "")
		w.generation++
	}
	if step >= steps && w.record.State() == brconfig.MoveRunning {
		w.record = w.record.WithState(brconfig.MoveDone, steps-1, "")
		w.generation++
		w.endedAt = w.now
	}
}

// measured is the result of a run.
type measured struct {
	exposure float64 // percent of requests to the new version in the minute after its first fault
	state    brconfig.MoveState
	took     time.Duration
}

func measure(bad badness, seed uint64, brakeless bool) measured {
	w := newWorld(brunit.New(1, 1), 15*time.Minute, measuredVMs, measuredRate, seed)
	w.bad = bad
	w.brakeless = brakeless
	if bad == badLater {
		w.badFrom = w.start.Add(60 * time.Second)
	}
	w.run()
	return measured{
		exposure: 100 * float64(w.minute) / float64(max(w.minuteAll, 1)),
		state:    w.record.State(),
		took:     w.endedAt.Sub(w.start),
	}
}

// Measures the share of requests that reach a bad version, and compares it with
// that of a move that advances without checks.
func TestMeasureExposure(t *testing.T) {
	for _, bad := range []badness{badAtOnce, badLater, badLoad, badOneRoute, badSlow} {
		sum, worst, blind := 0.0, 0.0, 0.0
		for seed := range uint64(*seeds) {
			m := measure(bad, seed, false)
			require.Equal(t, brconfig.MoveUndone, m.state, "version that is bad %s", bad)
			sum += m.exposure
			worst = max(worst, m.exposure)
			blind += measure(bad, seed, true).exposure
		}
		t.Logf("%-12s mean %.3f%% worst %.3f%% without checks mean %.3f%%", bad, sum/float64(*seeds), worst, blind/float64(*seeds))
	}
	done, longest := 0, time.Duration(0)
	for seed := range uint64(*seeds) {
		m := measure(good, seed, false)
		if m.state == brconfig.MoveDone {
			done++
		}
		longest = max(longest, m.took)
	}
	t.Logf("good         done %d of %d, longest %s", done, *seeds, longest)
	require.Equal(t, *seeds, done)
}
