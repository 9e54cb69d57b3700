package brplacement_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
)

// Nothing but the load of a service changes, from little to more than it can carry and
// back. Traffic that leaves a region with the load, and comes back, meets cold caches
// and links that are priced by the byte: from one interval of 2 s to the next, at most 15 in
// 100 requests from a region may change the region in which they run.
func TestLoadHardlyMovesRequestsBetweenRegions(t *testing.T) {
	const interval, maxShift = 2 * time.Second, 0.15
	const objects, count = 200, 24
	for seed := range uint64(3) {
		f := newLoadFleet(seed, 9, servers(count))
		regionOf := map[*brplacement.Placer]string{}
		for i, vm := range f.vms {
			regionOf[vm] = domains[i%len(domains)].region
		}
		var runs map[string]map[string]float64 // by region of the VM and of the server
		f.onPlaced = func(vm *brplacement.Placer, choice brplacement.Choice) {
			runs[regionOf[vm]][choice.Server().Region()]++
		}
		largest := 0.0
		var previous map[string]map[string]float64
		for step, load := range []float64{0.5, 0.5, 0.5, 0.6, 0.7, 0.6, 0.5, 0.8, 1, 1.2, 1, 0.6, 0.3, 0.5, 0.7} {
			runs = map[string]map[string]float64{"a": {}, "b": {}, "c": {}}
			f.run(interval, load*count*loadSlots/hitTime.Seconds(), func() string { return f.popular(objects) })
			for region, now := range runs {
				if step >= 3 { // caches are warm
					largest = max(largest, shift(previous[region], now))
				}
			}
			previous = runs
		}
		t.Logf("seed %d: largest shift %.3f", seed, largest)
		require.LessOrEqual(t, largest, maxShift, fmt.Sprint("seed ", seed))
	}
}

// shift returns the fraction of requests that run in another region than before.
func shift(before, after map[string]float64) float64 {
	total := func(runs map[string]float64) float64 {
		sum := 0.0
		for _, count := range runs {
			sum += count
		}
		return max(sum, 1)
	}
	moved := 0.0
	for _, region := range []string{"a", "b", "c"} {
		moved += math.Abs(before[region]/total(before)-after[region]/total(after)) / 2
	}
	return moved
}
