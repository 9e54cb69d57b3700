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
	measuredVMs   = 10
	measuredRate  = 20               // requests per second, VM and route
	uncheckedStep = 22 * time.Second // step of a move that advances without checks
)

// seeds is the number of runs for each row of the measurements.
var seeds = flag.Int("seeds", 2, "runs of each measurement")

// run simulates a move until one minute after its end.
func (s *simulation) run() {
	for s.now.Before(s.record.Deadline().Add(time.Minute)) {
		for _, v := range s.vms {
			s.deliver(v, true)
			for range s.rate {
				for _, route := range s.routes {
					s.send(v, route)
				}
			}
			if !s.unchecked {
				s.propose(nil, v)
			}
		}
		if s.unchecked {
			s.advanceUnchecked()
		}
		s.now = s.now.Add(simulationStep)
		if !s.endedAt.IsZero() && s.now.Sub(s.endedAt) > time.Minute {
			return
		}
	}
}

// advanceUnchecked starts each step at a fixed time, whatever the outcomes are.
func (s *simulation) advanceUnchecked() {
	steps := len(brmove.Steps(s.record.Cap()))
	step := int(s.now.Sub(s.start) / uncheckedStep)
	if step < steps && (s.record.State() == brconfig.MovePlanned || step > s.record.Step()) {
		s.record = s.record.WithState(brconfig.MoveRunning, step, "")
		s.generation++
	}
	if step >= steps && s.record.State() == brconfig.MoveRunning {
		s.record = s.record.WithState(brconfig.MoveDone, steps-1, "")
		s.generation++
		s.endedAt = s.now
	}
}

// measured is the result of a run.
type measured struct {
	exposure float64 // percent of all requests that the new version got in the minute after its first fault
	state    brconfig.MoveState
	duration time.Duration
}

func measure(bad defect, seed uint64, unchecked bool) measured {
	s := newSimulation(brunit.New(1, 1), 15*time.Minute, measuredVMs, measuredRate, seed)
	s.defect = bad
	s.unchecked = unchecked
	if bad == badLater {
		s.defectFrom = s.start.Add(60 * time.Second)
	}
	s.run()
	return measured{
		exposure: 100 * float64(s.minuteNew) / float64(max(s.minuteAll, 1)),
		state:    s.record.State(),
		duration: s.endedAt.Sub(s.start),
	}
}

// Measures the share of requests that reach a bad version, and compares it with
// that of a move that advances without checks.
func TestMeasureExposure(t *testing.T) {
	for _, bad := range []defect{badImmediately, badLater, badUnderLoad, badOneRoute, badSlow} {
		sum, worst, uncheckedSum := 0.0, 0.0, 0.0
		for seed := range uint64(*seeds) {
			m := measure(bad, seed, false)
			require.Equal(t, brconfig.MoveUndone, m.state, "version that is bad %s", bad)
			sum += m.exposure
			worst = max(worst, m.exposure)
			uncheckedSum += measure(bad, seed, true).exposure
		}
		t.Logf("%-12s mean %.3f%% worst %.3f%% without checks mean %.3f%%", bad, sum/float64(*seeds), worst, uncheckedSum/float64(*seeds))
	}
	done, longest := 0, time.Duration(0)
	for seed := range uint64(*seeds) {
		m := measure(good, seed, false)
		if m.state == brconfig.MoveDone {
			done++
		}
		longest = max(longest, m.duration)
	}
	t.Logf("good         done %d of %d, longest %s", done, *seeds, longest)
	require.Equal(t, *seeds, done)
}
