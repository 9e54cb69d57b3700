package braggregation_test

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/braggregation"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

var start = time.Unix(1000, 0)

func newStatus(vm string, demand float64) brstatus.Status {
	reporter := brstatus.Reporter(xxhash.Sum64String(vm))
	ledger := brstatus.Ledger{7: {reporter: brstatus.NewTally(1, 2, 3, 4)}}
	return brstatus.New([]string{vm}, map[string]float64{"o": demand}, ledger)
}

func TestRegionAndFleetAreAggregated(t *testing.T) {
	aggregator := braggregation.NewAggregator("north")
	aggregator.AddReport(start, "vm-1", "north", newStatus("vm-1", 2))
	aggregator.AddReport(start, "vm-2", "north", newStatus("vm-2", 3))
	aggregator.AddRegion(start, "este", newStatus("vm-9", 5))
	require.InDelta(t, 5, aggregator.Region(start).Demand("o"), 1e-9)
	fleet := aggregator.Fleet(start)
	require.InDelta(t, 10, fleet.Demand("o"), 1e-9)
	require.Equal(t, []string{"vm-1", "vm-2", "vm-9"}, fleet.Members())
	require.EqualValues(t, 6, fleet.Tally(7).TargetBad())
}

// A VM without recent reports is no longer a member, and its demand no longer counts.
func TestVMWithoutReportsExpires(t *testing.T) {
	aggregator := braggregation.NewAggregator("north")
	aggregator.AddReport(start, "vm-1", "north", newStatus("vm-1", 2))
	later := start.Add(2 * time.Second)
	aggregator.AddReport(later, "vm-2", "north", newStatus("vm-2", 3))
	require.Equal(t, []string{"vm-2"}, aggregator.Fleet(later).Members())
	require.InDelta(t, 3, aggregator.Fleet(later).Demand("o"), 1e-9)
}

// VMs stop one after the other, including the one that the others report to. The stops
// must stay known, since the other VMs use the quota of a stopped VM.
func TestStopIsKnownUntilTheVMRestarts(t *testing.T) {
	now := time.Unix(1000, 0)
	leader, follower := braggregation.NewAggregator("north"), braggregation.NewAggregator("north")
	leader.AddReport(now, "vm-1", "north", brstatus.New(nil, nil, nil).WithStopping(map[string]time.Duration{"vm-1": 0}))
	leader.AddReport(now, "vm-2", "north", brstatus.New([]string{"vm-2"}, nil, nil))
	require.True(t, leader.Fleet(now).IsStopping("vm-1"))
	require.False(t, leader.Fleet(now).IsStopping("vm-2"))
	follower.AddStops(now.Add(time.Second), leader.Fleet(now.Add(time.Second)))
	later := now.Add(3 * time.Second)
	require.True(t, follower.Fleet(later).IsStopping("vm-1"), "its report expires, its announced stop does not")
	follower.AddReport(later, "vm-1", "north", brstatus.New([]string{"vm-1"}, nil, nil))
	require.True(t, follower.Fleet(later).IsMember("vm-1"), "it has restarted")
	require.False(t, follower.Fleet(now.Add(time.Minute)).IsStopping("vm-1"), "the announced stop expires")
}

// Two regions exchange the announced stop of a VM repeatedly. It must expire.
func TestAnnouncedStopExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	north, south := braggregation.NewAggregator("north"), braggregation.NewAggregator("south")
	north.AddReport(now, "vm-1", "north", brstatus.New(nil, nil, nil).WithStopping(map[string]time.Duration{"vm-1": 0}))
	for range 100 {
		fromNorth, fromSouth := north.Region(now), south.Region(now)
		now = now.Add(400 * time.Millisecond)
		south.AddRegion(now, "north", fromNorth)
		north.AddRegion(now, "south", fromSouth)
	}
	require.False(t, north.Fleet(now).IsStopping("vm-1"))
	require.False(t, south.Fleet(now).IsStopping("vm-1"))
}

// While the store is unavailable, VMs search for a VM to report to and send their report
// to several, also in other regions. The demand on each VM must count once.
func TestVMsThatReportToSeveralCountOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	regionOf := map[string]string{"vm-1": "north", "vm-2": "north", "vm-3": "south", "vm-4": "south", "vm-5": "east", "vm-6": "east"}
	aggregators := map[string]*braggregation.Aggregator{}
	for _, region := range regionOf {
		aggregators[region] = braggregation.NewAggregator(region)
	}
	for _, aggregator := range aggregators {
		for vm, region := range regionOf {
			aggregator.AddReport(now, vm, region, brstatus.New([]string{vm}, map[string]float64{"depot": 10}, nil))
		}
	}
	for from, aggregator := range aggregators {
		for to, other := range aggregators {
			if from != to {
				other.AddRegion(now, from, aggregator.Region(now))
			}
		}
	}
	for region, aggregator := range aggregators {
		fleet := aggregator.Fleet(now)
		require.Len(t, fleet.Members(), len(regionOf))
		require.InDelta(t, 10*float64(len(regionOf)), fleet.Demand("depot"), 1e-9, "fleet demand in region %s", region)
	}
}

// The VMs of a region report to a VM of another region. The aggregate that one of them
// sends for its own region covers only itself.
func TestRegionWithoutReaderIsCountedFromReports(t *testing.T) {
	now := time.Unix(1000, 0)
	north := braggregation.NewAggregator("north")
	for _, vm := range []string{"vm-3", "vm-4"} {
		north.AddReport(now, vm, "south", brstatus.New([]string{vm}, map[string]float64{"depot": 10}, nil))
	}
	north.AddRegion(now, "south", brstatus.New([]string{"vm-3"}, map[string]float64{"depot": 10}, nil))
	require.InDelta(t, 20, north.Fleet(now).Demand("depot"), 1e-9)
	require.Zero(t, north.Region(now).Demand("depot"))
}
