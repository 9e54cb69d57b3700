package brusagecounter_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/decide/brusage"
	"bergamotroad.example/bergamotroad/internal/duty/brusagecounter"
	"bergamotroad.example/bergamotroad/internal/model/brmeter"
)

var terms = brmeter.NewTerms(5*time.Second, 10*time.Second, 3*time.Second)

// steadyClock is a steady clock in a bubble of synctest.
type steadyClock struct{ start time.Time }

func (s steadyClock) Reading() time.Duration { return time.Since(s.start) }

// steppingClock is a clock whose time of day is off.
type steppingClock struct {
	brclock.System
	ahead atomic.Int64
}

func (c *steppingClock) Now() time.Time { return c.System.Now().Add(time.Duration(c.ahead.Load())) }

type observer struct{}

func (observer) DutyStalled(string, int) {}

func (observer) DutyPanicked(name string, _ any, _ []byte) { panic(name) }

// vm is a VM that counts.
type vm struct {
	clock   *steppingClock
	counter *brusagecounter.Counter
	cursor  brusage.Cursor
}

func startVMs(t *testing.T, ahead ...time.Duration) []*vm {
	t.Helper()
	vms := []*vm{}
	group := brduty.NewGroup(t.Context(), brclock.NewSystem(), observer{})
	t.Cleanup(group.Stop)
	for i, by := range ahead {
		v := &vm{clock: &steppingClock{}}
		v.clock.ahead.Store(int64(by))
		name := string(rune('a' + i))
		v.counter = brusagecounter.New(v.clock, steadyClock{start: time.Now()}, terms, name, "run-"+name)
		group.Start(v.counter.Duty())
		vms = append(vms, v)
	}
	return vms
}

// exchange makes all other VMs report to the first one, for a time.
func exchange(vms []*vm, duration time.Duration) {
	for range int(duration / (400 * time.Millisecond)) {
		time.Sleep(400 * time.Millisecond)
		for _, v := range vms[1:] {
			v.counter.Count("yefi", v.clock.Now())
			time.Sleep(brusagecounter.PublishPeriod)
			vms[0].counter.Merge(v.counter.Report(&v.cursor, "reader", 0), true)
			synctest.Wait()
			answer := vms[0].counter.Acknowledgement()
			v.cursor.Confirm(answer.Run())
			v.counter.Merge(answer, false)
		}
	}
}

// A step of the time of day, and one back, must not move requests to another window.
func TestStepsDoNotMoveRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := startVMs(t, 0)[0]
		window := terms.Number(time.Now())
		for _, ahead := range []time.Duration{0, 7 * time.Second, -7 * time.Second, 0} {
			v.clock.ahead.Store(int64(ahead))
			v.counter.Count("yefi", v.clock.Now())
			time.Sleep(time.Second)
			require.InDelta(t, 0, v.counter.Now().Wall().Sub(time.Now()), float64(time.Millisecond))
		}
		total, _ := v.counter.Snapshot().Total(window)
		require.Equal(t, map[string]uint64{"yefi": 4}, total)
	})
}

// A VM that starts while its clock is off counts in the windows of the others, whether it reads
// the store or reports to the VM that does. Guards against windows that are shifted for the
// rest of its life.
func TestVMThatStartsWithWrongClockTakesTimeOfOthers(t *testing.T) {
	for wrong := range 3 {
		synctest.Test(t, func(t *testing.T) {
			ahead := make([]time.Duration, 3)
			ahead[wrong] = 6 * time.Second
			vms := startVMs(t, ahead...)
			exchange(vms, 4*time.Second)
			vms[wrong].clock.ahead.Store(0) // its clock is set right
			exchange(vms, 4*time.Second)
			for _, v := range vms {
				require.InDelta(t, 0, v.counter.Now().Wall().Sub(time.Now()), float64(300*time.Millisecond))
			}
		})
	}
}

// A window is completed soon after its end, also without a request, so that its report doesn't
// wait for this VM.
func TestWindowsAreCompletedWithoutRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := startVMs(t, 0)[0]
		window := terms.Number(time.Now())
		time.Sleep(time.Until(terms.End(window)))
		_, expected := v.counter.Snapshot().Missing(window)
		require.Zero(t, expected)
		time.Sleep(1100 * time.Millisecond)
		missing, expected := v.counter.Snapshot().Missing(window)
		require.Equal(t, []int{0, 1}, []int{missing, expected})
	})
}
