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
	faultTime     = 4 * time.Minute  // period in which VMs crash and are partitioned
	isolationTime = 30 * time.Second // partition of a VM beyond the move's end time
)

// drawFaults may partition a VM or restart it.
func (s *simulation) drawFaults(t *rapid.T, v *vm) {
	if s.now.Sub(s.start) > faultTime {
		return
	}
	switch rapid.IntRange(0, 200).Draw(t, "fault") {
	case 133:
		v.partitionedUntil = s.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "partition")) * time.Second)
	case 77:
		// A VM that restarts serves no requests before it has the latest record.
		v.gate = brmove.NewGate(s.now, s.record)
		v.generation, v.writes, v.partitionedUntil = s.generation, nil, time.Time{}
	}
}

// checkPlaced fails if a VM sent a request to the new version although the state of
// the move or its cap forbids it.
func (s *simulation) checkPlaced(t *rapid.T, v *vm, wasStopped bool, version string) {
	known := v.gate.Move()
	if known.State() == brconfig.MoveDone {
		return
	}
	v.placed++
	share, _ := s.record.Cap().Rat().Float64()
	v.minExcess = min(v.minExcess, v.excess)
	v.excess -= share
	if version != newVersion {
		return
	}
	v.moved++
	v.excess++
	isUpToDate := s.now.After(v.partitionedUntil.Add(maxDeliverySteps * simulationStep))
	hasEnded := !s.endedAt.IsZero() && s.now.Sub(s.endedAt) > maxDeliverySteps*simulationStep
	require.False(t, isUpToDate && hasEnded, "request to the new version after the move was undone")
	require.Equal(t, brconfig.MoveRunning, known.State(), "request to the new version in state %s", known.State())
	require.True(t, s.now.Before(known.Deadline()), "request to the new version after the end time of the move")
	require.False(t, wasStopped, "request to the new version after the VM stopped them")
	require.LessOrEqual(t, v.excess-v.minExcess, float64(len(s.routes))+1e-6, "the requests of one VM in a window exceed the cap")
	require.LessOrEqual(t, float64(v.moved), share*float64(v.placed)+1e-6, "the requests of one VM exceed the cap")
}

func drawSimulation(t *rapid.T) *simulation {
	limits := []brunit.Amount{brunit.New(1, 10), brunit.New(1, 3), brunit.New(7, 20), brunit.New(1, 1)}
	limit := rapid.SampledFrom(limits).Draw(t, "cap")
	duration := brmove.MinDuration(limit) + 2*faultTime
	s := newSimulation(limit, duration, rapid.IntRange(1, 4).Draw(t, "VMs"), rapid.IntRange(40, 60).Draw(t, "rate"), rapid.Uint64().Draw(t, "seed"))
	s.defect = rapid.SampledFrom([]defect{good, badImmediately, badLater, badUnderLoad, badOneRoute, badSlow}).Draw(t, "defect")
	if s.defect == badLater {
		s.defectFrom = s.start.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "bad from")) * time.Second)
	}
	stop := s.start.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "measurements stop")) * time.Second)
	s.outage = [2]time.Time{stop, stop.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "for")) * time.Second)}
	s.stuck = rapid.IntRange(0, 3).Draw(t, "stuck") == 3
	if s.stuck {
		stop := s.start.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "stuck from")) * time.Second)
		s.outage = [2]time.Time{stop, s.record.Deadline().Add(time.Hour)}
	}
	return s
}

// isolate partitions the first VM of a stuck move until after the move's end time.
func (s *simulation) isolate() {
	if s.stuck && s.now.Sub(s.start) > faultTime {
		s.vms[0].partitionedUntil = s.record.Deadline().Add(isolationTime)
	}
}

func (s *simulation) step(t *rapid.T) {
	s.isolate()
	for _, v := range s.vms {
		s.drawFaults(t, v)
		s.deliver(v, rapid.Bool().Draw(t, "delayed update"))
		for range s.rate {
			for _, route := range s.routes {
				wasStopped := v.gate.StopReason() != ""
				s.checkPlaced(t, v, wasStopped, s.send(v, route))
			}
		}
		s.propose(t, v)
	}
	s.now = s.now.Add(simulationStep)
}

// While VMs crash, are partitioned and get updates late, no VM exceeds the cap, a
// move ends exactly once and by its end time, a move to a bad version is undone,
// and a move to a good version is done.
func TestMoveKeepsItsCapAndEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t)
		end := s.record.Deadline().Add(2 * time.Minute)
		for s.now.Before(end) {
			s.step(t)
			if !s.endedAt.IsZero() && s.now.Sub(s.endedAt) > 100*time.Second {
				break
			}
		}
		require.Len(t, s.endStates, 1, "the move ended %v", s.endStates)
		if s.stuck {
			require.Equal(t, brconfig.MoveUndone, s.endStates[0], "move without measurements")
		} else if s.defect == good {
			require.Equal(t, brconfig.MoveDone, s.endStates[0], "good version: %s", s.record.Reason())
			require.True(t, s.endedAt.Before(s.record.Deadline()))
		} else if s.defect != badLater || s.defectFrom.Before(s.endedAt.Add(-time.Minute)) {
			require.Equal(t, brconfig.MoveUndone, s.endStates[0], "version that is bad %s", s.defect)
		}
		for _, v := range s.vms {
			require.Equal(t, s.record.State(), v.gate.Move().State())
			expected := oldVersion
			if s.endStates[0] == brconfig.MoveDone {
				expected = newVersion
			}
			require.Equal(t, []string{expected}, v.gate.Choose(s.now, s.routes[0]))
		}
	})
}

// A move is refused if its steps take longer than its duration, or if its service
// lacks a server of one of the versions.
func TestInfeasibleMoveIsRefused(t *testing.T) {
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
		return brmove.CheckChanges(now, snapshot, changes)
	}
	minimum := brmove.MinDuration(limit)
	require.NoError(t, check(move.WithTimes(now, now.Add(minimum))))
	require.True(t, brmove.IsErrInfeasible(check(move.WithTimes(now, now.Add(minimum-1)))))
	require.True(t, brmove.IsErrInfeasible(check(move.WithTimes(now.Add(-time.Hour), now.Add(minimum-1)))))
	other := brconfig.NewMove(brconfig.NewMeta("m"), "lookup", oldVersion, "v3").WithCap(limit)
	require.True(t, brmove.IsErrInfeasible(check(other.WithTimes(now, now.Add(time.Hour)))))
}
