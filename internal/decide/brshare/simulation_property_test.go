package brshare_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brshare"

	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// delays are the possible pauses between two steps.
var delays = []time.Duration{
	time.Millisecond, 200 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second,
	8 * time.Second, 10 * time.Second, 20 * time.Second, 75 * time.Minute,
}

const (
	stepsPerRun = 200
	maxFlush    = 40 // messages
)

// No window admits more than rate x time + burst, whatever messages are lost, repeated,
// reordered or delayed, processes paused, crashed or restarted, leases expired and limits
// changed, and although the clocks run at different rates.
func TestNeverMoreThanRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, rapid.IntRange(2, 5).Draw(t, "processes"),
			limitOf(t, "30", "6", "1", time.Minute),
			limitOf(t, "60", "12", "1", time.Minute),
			limitOf(t, "15", "3", "1", time.Minute))
		stabilise(w)
		for range stepsPerRun {
			step(t, w)
			w.check()
		}
	})
}

func step(t *rapid.T, w *simulation) {
	p := rapid.SampledFrom(w.processes).Draw(t, "process")
	switch rapid.IntRange(0, 15).Draw(t, "step") {
	case 0, 1, 2, 3:
		w.advance(rapid.SampledFrom(delays).Draw(t, "delay"))
	case 4, 5:
		w.take(p, w.limits[0].Weight("")/int64(rapid.IntRange(1, 4).Draw(t, "fraction")))
	case 6:
		w.takeAll()
	case 7, 8:
		w.ask(p, rapid.SampledFrom(w.processes).Draw(t, "lender"))
	case 9:
		w.renew(p)
	case 10:
		if m, ok := w.visit(p); ok {
			w.bus = append(w.bus, m)
		}
	case 11, 12:
		if len(w.bus) > 0 {
			index := rapid.IntRange(0, len(w.bus)-1).Draw(t, "message")
			w.deliver(index, rapid.Bool().Draw(t, "repeat"))
		}
	case 13:
		w.flush(rapid.Bool().Draw(t, "repeat"))
	case 14:
		w.injectFault(t, p)
	case 15:
		w.updateAll()
	}
}

// flush delivers the messages on the bus and the responses to them. With repeat, copies
// stay on the bus.
func (w *simulation) flush(repeat bool) {
	for range 2 {
		for range min(len(w.bus), maxFlush) {
			w.deliver(0, repeat)
		}
	}
}

// takeAll takes all available tokens of all processes.
func (w *simulation) takeAll() {
	for _, p := range w.processes {
		w.take(p, p.account.Level(w.now(p)))
	}
}

// injectFault restarts a process, loses all messages, changes a limit, or changes the
// number of floors and the target parts.
func (w *simulation) injectFault(t *rapid.T, p *process) {
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 0:
		w.start(p)
	case 1:
		w.bus = nil
	case 2:
		w.changeLimit(p, rapid.IntRange(0, len(w.limits)-1).Draw(t, "limit"))
	case 3:
		w.floors = rapid.IntRange(1, 4).Draw(t, "floors")
		w.targets[0] = brshare.Whole / 4 * brshare.Parts(rapid.IntRange(1, 3).Draw(t, "quarters"))
		w.targets[1] = brshare.Whole - w.targets[0]
	}
}

// updateAll lets every process read and update the table without message loss.
func (w *simulation) updateAll() {
	for _, p := range w.processes {
		if m, ok := w.visit(p); ok {
			m.deliver()
			w.deliver(len(w.bus)-1, false)
		}
	}
}

func stabilise(w *simulation) {
	for range 3 {
		w.updateAll()
		w.advance(5 * time.Second)
	}
}

// A clock that is fast by up to the maximum error does not raise the rate over an hour.
func TestFastClockDoesNotRaiseTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, 1, limitOf(t, "30", "6", "1", time.Minute))
		p := w.processes[0]
		p.rate = rapid.Int64Range(0, 500).Draw(t, "fast")
		p.account.Grant("all", brshare.Whole, start.Add(24*time.Hour), w.now(p))
		w.advance(time.Minute)
		for range 1200 {
			w.takeAll()
			w.check()
			w.advance(3 * time.Second)
		}
	})
}

// borrowFromAll requests loans from all other processes without message loss.
func (w *simulation) borrowFromAll(p *process) {
	for _, lender := range w.processes {
		if lender != p {
			w.ask(p, lender)
			w.deliver(len(w.bus)-1, false)
			w.deliver(len(w.bus)-1, false)
		}
	}
}

// If all VMs are connected, one VM can use all of a limit of 3 requests per minute that
// is divided among 11 VMs.
func TestSmallLimitIsUsableWholeByOneVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := limitOf(t, "3", "3", "1", time.Minute)
		w := newSimulation(t, 11, limit)
		stabilise(w)
		for range 14 {
			w.advance(5 * time.Second)
			w.updateAll()
		}
		w.advance(time.Second)
		p := rapid.SampledFrom(w.processes).Draw(t, "process")
		w.borrowFromAll(p)
		require.Equal(t, brshare.Whole, p.account.Parts(w.now(p)))
		for range 3 {
			require.True(t, w.take(p, limit.Weight("")))
		}
		require.False(t, w.take(p, limit.Weight("")))
		w.check()
	})
}
