package brshare_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brshare"

	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// delays are how long the world stands still between two steps.
var delays = []time.Duration{
	time.Millisecond, 200 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second,
	8 * time.Second, 10 * time.Second, 20 * time.Second, 75 * time.Minute,
}

const (
	stepsPerRun = 200
	maxFlush    = 40 // messages
)

// Through loss, repetition, reordering, delay, pause, crash, restart, lapse,
// changed limits and clocks of other rates, no window admits more than
// rate x time + burst.
func TestNeverMoreThanRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 5).Draw(t, "processes"),
			limitOf(t, "30", "6", "1", time.Minute),
			limitOf(t, "60", "12", "1", time.Minute),
			limitOf(t, "15", "3", "1", time.Minute))
		settle(w)
		for range stepsPerRun {
			step(t, w)
			w.check()
		}
	})
}

func step(t *rapid.T, w *world) {
	p := rapid.SampledFrom(w.processes).Draw(t, "process")
	switch rapid.IntRange(0, 15).Draw(t, "step") {
	case 0, 1, 2, 3:
		w.pass(rapid.SampledFrom(delays).Draw(t, "delay"))
	case 4, 5:
		w.take(p, w.limits[0].Weight("")/int64(rapid.IntRange(1, 4).Draw(t, "fraction")))
	case 6:
		w.drain()
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
		w.upset(t, p)
	case 15:
		w.round()
	}
}

// flush delivers what is on the bus and the answers to it, and may keep copies.
func (w *world) flush(repeat bool) {
	for range 2 {
		for range min(len(w.bus), maxFlush) {
			w.deliver(0, repeat)
		}
	}
}

// drain takes what can be taken anywhere.
func (w *world) drain() {
	for _, p := range w.processes {
		w.take(p, p.account.Level(w.now(p)))
	}
}

// upset crashes a process, loses a message, changes a limit or the number of VMs.
func (w *world) upset(t *rapid.T, p *process) {
	switch rapid.IntRange(0, 3).Draw(t, "upset") {
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

// round lets every process visit the table without loss.
func (w *world) round() {
	for _, p := range w.processes {
		if m, ok := w.visit(p); ok {
			m.deliver()
			w.deliver(len(w.bus)-1, false)
		}
	}
}

func settle(w *world) {
	for range 3 {
		w.round()
		w.pass(5 * time.Second)
	}
}

// A clock that is fast by the largest error admits no more over an hour.
func TestFastClockDoesNotRaiseTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 1, limitOf(t, "30", "6", "1", time.Minute))
		p := w.processes[0]
		p.rate = rapid.Int64Range(0, 500).Draw(t, "fast")
		p.account.Grant("all", brshare.Whole, start.Add(24*time.Hour), w.now(p))
		w.pass(time.Minute)
		for range 1200 {
			w.drain()
			w.check()
			w.pass(3 * time.Second)
		}
	})
}

// gather asks all others for loans, without loss.
func (w *world) gather(p *process) {
	for _, lender := range w.processes {
		if lender != p {
			w.ask(p, lender)
			w.deliver(len(w.bus)-1, false)
			w.deliver(len(w.bus)-1, false)
		}
	}
}

// With all connected, a limit of 3 a minute over 11 VMs can be used whole by one.
func TestSmallLimitIsUsableWholeByOneVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := limitOf(t, "3", "3", "1", time.Minute)
		w := newWorld(t, 11, limit)
		settle(w)
		for range 14 {
			w.pass(5 * time.Second)
			w.round()
		}
		w.pass(time.Second)
		p := rapid.SampledFrom(w.processes).Draw(t, "process")
		w.gather(p)
		require.Equal(t, brshare.Whole, p.account.Parts(w.now(p)))
		for range 3 {
			require.True(t, w.take(p, limit.Weight("")))
		}
		require.False(t, w.take(p, limit.Weight("")))
		w.check()
	})
}
