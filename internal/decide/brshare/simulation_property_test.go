package brshare_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brshare"

	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// delays are the possible times between two steps.
var delays = []time.Duration{
	time.Millisecond, 200 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second,
	8 * time.Second, 10 * time.Second, 20 * time.Second, 75 * time.Minute,
}

const (
	stepsPerRun = 200
	maxFlush    = 40 // messages
)

// No window admits more than rate x time + burst, even if messages are lost, repeated,
// reordered or delayed, processes pause, crash and restart, leases expire, limits change
// and clocks run at different rates.
func TestNeverMoreThanRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(2, 5).Draw(t, "processes"),
			limitOf(t, "30", "6", "1", time.Minute),
			limitOf(t, "60", "12", "1", time.Minute),
			limitOf(t, "15", "3", "1", time.Minute))
		stabilise(s)
		for range stepsPerRun {
			step(t, s)
			s.check()
		}
	})
}

func step(t *rapid.T, s *simulation) {
	p := rapid.SampledFrom(s.processes).Draw(t, "process")
	switch rapid.IntRange(0, 15).Draw(t, "step") {
	case 0, 1, 2, 3:
		s.advance(rapid.SampledFrom(delays).Draw(t, "delay"))
	case 4, 5:
		s.take(p, s.limits[0].Weight("")/int64(rapid.IntRange(1, 4).Draw(t, "fraction")))
	case 6:
		s.takeAll()
	case 7, 8:
		s.requestLoan(p, rapid.SampledFrom(s.processes).Draw(t, "lender"))
	case 9:
		s.renew(p)
	case 10:
		if m, ok := s.updateRow(p); ok {
			s.bus = append(s.bus, m)
		}
	case 11, 12:
		if len(s.bus) > 0 {
			index := rapid.IntRange(0, len(s.bus)-1).Draw(t, "message")
			s.deliver(index, rapid.Bool().Draw(t, "repeat"))
		}
	case 13:
		s.flush(rapid.Bool().Draw(t, "repeat"))
	case 14:
		s.injectFault(t, p)
	case 15:
		s.updateAll()
	}
}

// flush delivers the messages on the bus and the responses to them. With repeat, copies
// stay on the bus.
func (s *simulation) flush(repeat bool) {
	for range 2 {
		for range min(len(s.bus), maxFlush) {
			s.deliver(0, repeat)
		}
	}
}

// takeAll takes all available tokens of all processes.
func (s *simulation) takeAll() {
	for _, p := range s.processes {
		s.take(p, p.account.Level(s.now(p)))
	}
}

// injectFault restarts a process, loses all messages, changes a limit, or changes the
// number of floors and the target parts.
func (s *simulation) injectFault(t *rapid.T, p *process) {
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 0:
		s.start(p)
	case 1:
		s.bus = nil
	case 2:
		s.changeLimit(p, rapid.IntRange(0, len(s.limits)-1).Draw(t, "limit"))
	case 3:
		s.floors = rapid.IntRange(1, 4).Draw(t, "floors")
		s.targets[0] = brshare.Whole / 4 * brshare.Parts(rapid.IntRange(1, 3).Draw(t, "quarters"))
		s.targets[1] = brshare.Whole - s.targets[0]
	}
}

// updateAll lets every process read and update the table without message loss.
func (s *simulation) updateAll() {
	for _, p := range s.processes {
		if m, ok := s.updateRow(p); ok {
			m.deliver()
			s.deliver(len(s.bus)-1, false)
		}
	}
}

// stabilise lets the processes claim their slots.
func stabilise(s *simulation) {
	for range 3 {
		s.updateAll()
		s.advance(5 * time.Second)
	}
}

// A clock that is fast by up to the maximum error does not raise the rate over an hour.
func TestFastClockDoesNotRaiseTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 1, limitOf(t, "30", "6", "1", time.Minute))
		p := s.processes[0]
		p.clockErrorPPM = rapid.Int64Range(0, 500).Draw(t, "clock error")
		p.account.Grant("all", brshare.Whole, start.Add(24*time.Hour), s.now(p))
		s.advance(time.Minute)
		for range 1200 {
			s.takeAll()
			s.check()
			s.advance(3 * time.Second)
		}
	})
}

// borrowFromAll requests loans from all other processes without message loss.
func (s *simulation) borrowFromAll(p *process) {
	for _, lender := range s.processes {
		if lender != p {
			s.requestLoan(p, lender)
			s.deliver(len(s.bus)-1, false)
			s.deliver(len(s.bus)-1, false)
		}
	}
}

// If all VMs are connected, one VM can use all of a limit of 3 requests per minute that
// is divided among 11 VMs.
func TestOneVMCanUseAllOfASmallLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := limitOf(t, "3", "3", "1", time.Minute)
		s := newSimulation(t, 11, limit)
		stabilise(s)
		for range 14 {
			s.advance(5 * time.Second)
			s.updateAll()
		}
		s.advance(time.Second)
		p := rapid.SampledFrom(s.processes).Draw(t, "process")
		s.borrowFromAll(p)
		require.Equal(t, brshare.Whole, p.account.Parts(s.now(p)))
		for range 3 {
			require.True(t, s.take(p, limit.Weight("")))
		}
		require.False(t, s.take(p, limit.Weight("")))
		s.check()
	})
}
