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
	// maxAge is the maximum acceptable age of records.
	maxAge = 1300 * time.Millisecond
	// convergenceTime is the time after a change during which the records of a VM may
	// be older than maxAge.
	convergenceTime = 2500 * time.Millisecond
)

// simulation simulates VMs in two regions with one store. Each VM executes its plan: it
// reads the store or asks another VM.
type simulation struct {
	vms       []brfleet.VM
	choosers  []*brsource.Chooser
	currentAt []time.Time // time at which a VM's records were current
	reads     []bool      // the VM reads the store
	works     []bool      // its reads succeed
	down      []bool      // the VM is not running
	rejected  []bool      // the store rejects the VM
	calls     int
}

func newSimulation(count int) *simulation {
	s := &simulation{}
	for i := range count {
		region := []string{"a", "b"}[i*2/count]
		vm := brfleet.NewVM(fmt.Sprintf("vm-%d", i), "", "").WithLocation(region, region)
		s.vms = append(s.vms, vm)
		s.choosers = append(s.choosers, brsource.New(vm))
	}
	s.currentAt = make([]time.Time, count)
	s.reads = make([]bool, count)
	s.works = make([]bool, count)
	s.down = make([]bool, count)
	s.rejected = make([]bool, count)
	return s
}

// step lets each VM read the store and execute its next plan.
func (s *simulation) step(now time.Time) {
	for i := range s.vms {
		s.works[i] = s.reads[i] && !s.down[i] && !s.rejected[i]
		if s.works[i] {
			s.currentAt[i] = now
			s.calls++
		}
	}
	for i, c := range s.choosers {
		if s.down[i] {
			continue
		}
		plan := c.Plan(now, s.vms, s.works[i])
		s.reads[i] = plan.Reads()
		if vm, asks := plan.VM(); asks {
			c.Observe(now, vm, s.ask(now, i, vm))
		}
	}
}

// ask returns the outcome when one VM asks another for records.
func (s *simulation) ask(now time.Time, from int, vm brfleet.VM) brsource.Outcome {
	for i, other := range s.vms {
		if other.Name() != vm.Name() {
			continue
		}
		if s.down[i] {
			return brsource.Failed
		}
		if s.currentAt[i].After(s.currentAt[from]) {
			s.currentAt[from] = s.currentAt[i]
		}
		if s.works[i] && now.Sub(s.currentAt[i]) <= maxAge {
			return brsource.Fresh
		}
	}
	return brsource.Stale
}

func (s *simulation) run(now time.Time, duration time.Duration) time.Time {
	for elapsed := time.Duration(0); elapsed < duration; elapsed += tick {
		now = now.Add(tick)
		s.step(now)
	}
	return now
}

// Without faults, exactly one VM of each region reads the store.
func TestOneVMPerRegionReads(t *testing.T) {
	s := newSimulation(10)
	now := s.run(start, 5*time.Second)
	require.Equal(t, []bool{true, false, false, false, false, true, false, false, false, false}, s.reads)
	for i := range s.vms {
		require.LessOrEqual(t, now.Sub(s.currentAt[i]), tick)
	}
}

// As long as the store serves at least one running VM, all running VMs have current
// records within seconds, whichever VMs are down or rejected by the store.
func TestAllVMsFollowTheReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(8)
		now := s.run(start, 3*time.Second)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			served := false
			for i := range s.vms {
				s.down[i] = rapid.Bool().Draw(t, "down")
				s.rejected[i] = rapid.Bool().Draw(t, "rejected")
				served = served || (!s.down[i] && !s.rejected[i])
			}
			now = s.run(now, convergenceTime)
			if !served {
				continue
			}
			for range 30 {
				now = s.run(now, tick)
				for i := range s.vms {
					require.True(t, s.down[i] || now.Sub(s.currentAt[i]) <= maxAge, "%v has records that are %v old", s.vms[i].Name(), now.Sub(s.currentAt[i]))
				}
			}
		}
	})
}

// While the store serves no VM, a VM keeps asking the first live VM of its region,
// because that VM aggregates the reports.
func TestReportsContinueWhileTheStoreIsUnavailable(t *testing.T) {
	s := newSimulation(8)
	now := s.run(start, 3*time.Second)
	for i := range s.rejected {
		s.rejected[i] = true
	}
	now = s.run(now, convergenceTime)
	asked := 0
	for range 20 {
		now = now.Add(tick)
		plan := s.choosers[3].Plan(now, s.vms, false)
		if vm, asks := plan.VM(); asks && vm.Name() == "vm-0" {
			asked++
		}
		if vm, asks := plan.VM(); asks {
			s.choosers[3].Observe(now, vm, brsource.Stale)
		}
		require.True(t, plan.Reads())
	}
	require.GreaterOrEqual(t, asked, 4)
	require.True(t, s.choosers[0].Plan(now, s.vms, false).Leads())
}

// If the VM that reads the store for a region fails, the next one takes over, and
// the others wait for it instead of all reading the store at once.
func TestFailedReaderIsReplacedByOneVM(t *testing.T) {
	s := newSimulation(20)
	now := s.run(start, 8*time.Second)
	s.down[0] = true
	readers := map[int]bool{}
	for range 30 {
		now = now.Add(tick)
		s.step(now)
		for i := range 10 {
			if s.reads[i] && !s.down[i] {
				readers[i] = true
			}
			require.True(t, s.down[i] || now.Sub(s.currentAt[i]) <= maxAge, "%v has records that are %v old", s.vms[i].Name(), now.Sub(s.currentAt[i]))
		}
	}
	require.LessOrEqual(t, len(readers), 2)
	require.True(t, s.reads[1])
}
