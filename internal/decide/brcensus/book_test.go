package brcensus_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brcensus"
	"bergamotroad.example/bergamotroad/internal/model/brstanding"
)

var start = time.Unix(1000, 0)

func standing(vm string, demand float64) brstanding.Standing {
	tallies := map[uint64]brstanding.Tally{7: brstanding.NewTally(1, 2, 3, 4)}
	return brstanding.New([]string{vm}, map[string]float64{"o": demand}, tallies)
}

func TestBookSumsUpRegionAndFleet(t *testing.T) {
	book := brcensus.NewBook()
	book.Report(start, "vm-1", standing("vm-1", 2))
	book.Report(start, "vm-2", standing("vm-2", 3))
	book.Exchange(start, "este", standing("vm-9", 5))
	require.InDelta(t, 5, book.Region(start).Demand("o"), 1e-9)
	fleet := book.Fleet(start)
	require.InDelta(t, 10, fleet.Demand("o"), 1e-9)
	require.Equal(t, []string{"vm-1", "vm-2", "vm-9"}, fleet.Members())
	require.EqualValues(t, 6, fleet.Tally(7).TargetBad())
}

// A VM that is silent is no member any more, and asks nothing.
func TestSilentVMIsForgotten(t *testing.T) {
	book := brcensus.NewBook()
	book.Report(start, "vm-1", standing("vm-1", 2))
	later := start.Add(2 * time.Second)
	book.Report(later, "vm-2", standing("vm-2", 3))
	require.Equal(t, []string{"vm-2"}, book.Fleet(later).Members())
	require.InDelta(t, 3, book.Fleet(later).Demand("o"), 1e-9)
}

// Pattern: VMs are stopped one after the other, also the one that the others
// follow, and the quota that they leave is known to be free.
func TestVMThatStopsIsKnownToHaveLeftUntilItIsBack(t *testing.T) {
	now := time.Unix(1000, 0)
	leader, follower := brcensus.NewBook(), brcensus.NewBook()
	leader.Report(now, "vm-1", brstanding.New(nil, nil, nil).WithLeft(map[string]time.Duration{"vm-1": 0}))
	leader.Report(now, "vm-2", brstanding.New([]string{"vm-2"}, nil, nil))
	require.True(t, leader.Fleet(now).Left("vm-1"))
	require.False(t, leader.Fleet(now).Left("vm-2"))
	follower.Adopt(now.Add(time.Second), leader.Fleet(now.Add(time.Second)))
	later := now.Add(3 * time.Second)
	require.True(t, follower.Fleet(later).Left("vm-1"), "its own report is forgotten, the word that it stops is not")
	follower.Report(later, "vm-1", brstanding.New([]string{"vm-1"}, nil, nil))
	require.True(t, follower.Fleet(later).Lives("vm-1"), "it is back")
	require.False(t, follower.Fleet(now.Add(time.Minute)).Left("vm-1"), "nobody waits for it any more")
}

// Pattern: two regions tell each other of a VM that left; the word does not live for ever.
func TestWordOfAVMThatLeftEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	north, south := brcensus.NewBook(), brcensus.NewBook()
	north.Report(now, "vm-1", brstanding.New(nil, nil, nil).WithLeft(map[string]time.Duration{"vm-1": 0}))
	for range 100 {
		fromNorth, fromSouth := north.Region(now), south.Region(now)
		now = now.Add(400 * time.Millisecond)
		south.Exchange(now, "north", fromNorth)
		north.Exchange(now, "south", fromSouth)
	}
	require.False(t, north.Fleet(now).Left("vm-1"))
	require.False(t, south.Fleet(now).Left("vm-1"))
}
