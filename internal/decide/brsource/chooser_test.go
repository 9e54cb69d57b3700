package brsource_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brsource"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

var start = time.Unix(1000, 0)

const (
	tick = 100 * time.Millisecond
	// bound is the maximum acceptable age of records.
	bound = 1300 * time.Millisecond
	// settled is the time after a change during which a VM may be behind.
	settled = 2500 * time.Millisecond
)

// world simulates VMs in two regions with one store. Each VM follows its plan: it
// reads the store or asks another VM.
type world struct {
	vms      []brfleet.VM
	choosers []*brsource.Chooser
	knows    []time.Time // time at which a VM's records were current
	reads    []bool
	works    []bool
	down     []bool // the VM is not running
	refused  []bool // the store rejects the VM
	calls    int
}

func newWorld(count int) *world {
	w := &world{}
	for i := range count {
		region := []string{"a", "b"}[i*2/count]
		vm := brfleet.NewVM(fmt.Sprintf("vm-%d", i), "", "").WithPlace(region, region)
		w.vms = append(w.vms, vm)
		w.choosers = append(w.choosers, brsource.New(vm))
	}
	w.knows = make([]time.Time, count)
	w.reads = make([]bool, count)
	w.works = make([]bool, count)
	w.down = make([]bool, count)
	w.refused = make([]bool, count)
	return w
}

func (w *world) step(now time.Time) {
	for i := range w.vms {
		w.works[i] = w.reads[i] && !w.down[i] && !w.refused[i]
		if w.works[i] {
			w.knows[i] = now
			w.calls++
		}
	}
	for i, c := range w.choosers {
		if w.down[i] {
			continue
		}
		plan := c.Plan(now, w.vms, w.works[i])
		w.reads[i] = plan.Reads()
		if vm, asks := plan.VM(); asks {
			c.Told(now, vm, w.ask(now, i, vm))
		}
	}
}

func (w *world) ask(now time.Time, from int, vm brfleet.VM) brsource.Report {
	for i, other := range w.vms {
		if other.Name() != vm.Name() {
			continue
		}
		if w.down[i] {
			return brsource.Failed
		}
		if w.knows[i].After(w.knows[from]) {
			w.knows[from] = w.knows[i]
		}
		if w.works[i] && now.Sub(w.knows[i]) <= bound {
			return brsource.Fresh
		}
	}
	return brsource.Stale
}

func (w *world) run(from time.Time, length time.Duration) time.Time {
	for passed := time.Duration(0); passed < length; passed += tick {
		from = from.Add(tick)
		w.step(from)
	}
	return from
}

// Without faults, exactly one VM of each region reads the store.
func TestOneVMOfARegionReads(t *testing.T) {
	w := newWorld(10)
	now := w.run(start, 5*time.Second)
	require.Equal(t, []bool{true, false, false, false, false, true, false, false, false, false}, w.reads)
	for i := range w.vms {
		require.LessOrEqual(t, now.Sub(w.knows[i]), tick)
	}
}

// As long as the store serves at least one VM, all running VMs have its current
// records within seconds, whichever VMs are down or rejected by the store.
func TestAllVMsLearnFromWhoeverReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(8)
		now := w.run(start, 3*time.Second)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			served := false
			for i := range w.vms {
				w.down[i] = rapid.Bool().Draw(t, "down")
				w.refused[i] = rapid.Bool().Draw(t, "refused")
				served = served || (!w.down[i] && !w.refused[i])
			}
			now = w.run(now, settled)
			if !served {
				continue
			}
			for range 30 {
				now = w.run(now, tick)
				for i := range w.vms {
					require.True(t, w.down[i] || now.Sub(w.knows[i]) <= bound, "%v behind by %v", w.vms[i].Name(), now.Sub(w.knows[i]))
				}
			}
		}
	})
}

// While the store serves no VM, a VM keeps asking the first live VM of its region,
// because that VM aggregates the reports.
func TestReportsGoOnWhileTheStoreIsAway(t *testing.T) {
	w := newWorld(8)
	now := w.run(start, 3*time.Second)
	for i := range w.refused {
		w.refused[i] = true
	}
	now = w.run(now, settled)
	asked := 0
	for range 20 {
		now = now.Add(tick)
		plan := w.choosers[3].Plan(now, w.vms, false)
		if vm, asks := plan.VM(); asks && vm.Name() == "vm-0" {
			asked++
		}
		if vm, asks := plan.VM(); asks {
			w.choosers[3].Told(now, vm, brsource.Stale)
		}
		require.True(t, plan.Reads())
	}
	require.GreaterOrEqual(t, asked, 4)
	require.True(t, w.choosers[0].Plan(now, w.vms, false).Leads())
}

// If the VM that reads the store for a region fails, the next one takes over, and
// the others wait for it instead of all reading the store at once.
func TestReaderThatDiesIsReplacedByOne(t *testing.T) {
	w := newWorld(20)
	now := w.run(start, 8*time.Second)
	w.down[0] = true
	readers := map[int]bool{}
	for range 30 {
		now = now.Add(tick)
		w.step(now)
		for i := range 10 {
			if w.reads[i] && !w.down[i] {
				readers[i] = true
			}
			require.True(t, w.down[i] || now.Sub(w.knows[i]) <= bound, "%v behind by %v", w.vms[i].Name(), now.Sub(w.knows[i]))
		}
	}
	require.LessOrEqual(t, len(readers), 2)
	require.True(t, w.reads[1])
}
