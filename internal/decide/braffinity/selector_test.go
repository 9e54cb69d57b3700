package braffinity_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/braffinity"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// maxShareDeviation is by how much the share of objects of a group of servers may deviate
// from its share of the slots.
const maxShareDeviation = 0.05

// Servers come and go, and objects move that had nothing to do with it: each such move is
// a cache miss that occupies a server for three times as long. Moves may exceed the
// share of the slots that were added or removed by a tenth.
func TestMovesAreCloseToTheMinimum(t *testing.T) {
	for _, c := range changes {
		if c.name == "a domain is lost" {
			continue // its servers are not known any more, so that shares need moves
		}
		t.Run(c.name, func(t *testing.T) {
			firsts, nears, minimum := 0.0, 0.0, 0.0
			c.objects = measuredObjects / 10
			if c.name == "a release replaces a third" {
				c.servers = measuredServers / 8 // it has many steps
			}
			for seed := range uint64(4) {
				m := measure(c, seed, newWeighted)
				firsts, nears, minimum = firsts+m.firsts, nears+m.nears, minimum+m.minimum
			}
			require.LessOrEqual(t, firsts, 1.1*minimum)
			require.LessOrEqual(t, nears, 1.1*minimum)
		})
	}
}

// With 20 objects a server, no region, failure domain or size of server gets more or fewer
// objects than its slots call for, also after the fleet has changed.
func TestSharesOfObjectsFollowSlots(t *testing.T) {
	for _, c := range changes[:5] {
		if c.name == "ten servers of a region are added" {
			continue // see TestSharesOfObjectsFollowARegionThatGrows
		}
		t.Run(c.name, func(t *testing.T) {
			m := measure(c, 1, newWeighted)
			require.LessOrEqual(t, m.deviation(byRegion), maxShareDeviation)
			require.LessOrEqual(t, m.deviation(byDomain), maxShareDeviation)
			require.LessOrEqual(t, m.deviation(bySlots), maxShareDeviation)
		})
	}
}

// A region grows server by server, each of which changes its share by less than the
// tolerance. It must get more objects all the same.
func TestSharesOfObjectsFollowARegionThatGrows(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 4))
	nodes := newFleet(random, measuredServers/2)
	m := newMovement(newWeighted, measuredObjects)
	for range measuredServers / 4 {
		nodes = append(nodes, newFleet(random, 1)...)
		for _, vm := range m.vms {
			vm.update(nodes)
			vm.first("object", 1)
		}
	}
	m.step(nodes)
	require.LessOrEqual(t, m.deviation(byRegion), maxShareDeviation)
}

// Regions of unequal size would be overloaded or left idle if each kept the same part of
// its objects.
func TestRegionsOfUnequalSizeGetObjectsBySlots(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	nodes := []*node{}
	for i, region := range []string{"a", "a", "a", "a", "a", "b", "b", "b", "c", "c"} {
		for j := range 20 {
			nodes = append(nodes, newNode(fmt.Sprint(i, "-", j), region, region, 1+random.IntN(8)))
		}
	}
	m := newMovement(newWeighted, measuredObjects)
	m.step(nodes)
	require.LessOrEqual(t, m.deviation(byRegion), maxShareDeviation)
}

// A server of another size is added to a fleet of equal servers, whose regions have unequal
// sizes. Objects must not move because shares are computed otherwise from then on.
func TestFirstServerOfAnotherSizeMovesOnlyItsObjects(t *testing.T) {
	nodes := []*node{}
	for i := range measuredServers {
		region := []string{"a", "a", "a", "a", "a", "b", "b", "b", "c", "c"}[i%10]
		nodes = append(nodes, newNode(fmt.Sprint("s-", i), region, region, 4))
	}
	added := newNode("other", "a", "a", 6)
	for _, region := range measuredRegions {
		vm := newWeighted(region)
		before := make([]*node, measuredObjects)
		vm.update(nodes)
		for i := range before {
			before[i] = vm.first(fmt.Sprint(i), 1)[0]
		}
		vm.update(append(slices.Clone(nodes), added))
		for i := range before {
			if after := vm.first(fmt.Sprint(i), 1)[0]; after != added {
				require.Same(t, before[i], after)
			}
		}
	}
}

// One server or failure domain changes its state. No object may move that was not on one
// of these servers before or is on one of them afterwards.
func TestOnlyObjectsOfChangedServersMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := newFleet(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2)), 120)
		if rapid.Bool().Draw(t, "equal slots") {
			for i, n := range nodes {
				nodes[i] = newNode(n.id, n.domain, n.region, 4)
			}
		}
		region := rapid.SampledFrom(measuredRegions).Draw(t, "region")
		changed := []*node{rapid.SampledFrom(nodes).Draw(t, "server")}
		state := rapid.SampledFrom([]braffinity.State{braffinity.Unavailable, braffinity.Evacuated}).Draw(t, "state")
		if state == braffinity.Evacuated {
			changed = slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n.domain != changed[0].domain })
		}
		removed := state == braffinity.Unavailable && rapid.Bool().Draw(t, "removed")
		selector := braffinity.NewSelector[*node, braffinity.Weighted](region)
		first := func(object string, apply bool) *node {
			pool := selector.Pool(braffinity.NewGroup("lookup", false))
			for _, n := range nodes {
				switch {
				case !apply || !slices.Contains(changed, n):
					pool.Add(n, braffinity.Usable)
				case !removed:
					pool.Add(n, state)
				}
			}
			return selector.Order(object, pool, nearServers)[0]
		}
		for i := range 200 {
			object := fmt.Sprint(i)
			before, after := first(object, false), first(object, true)
			if slices.Contains(changed, before) {
				require.NotContains(t, changed, after)
				if state == braffinity.Unavailable {
					require.Equal(t, before.region == region, after.region == region, "object stays in the region, or elsewhere")
				}
			} else {
				require.Same(t, before, after)
			}
			require.Same(t, before, first(object, false), "object comes back")
		}
	})
}

// The order of servers is cut off after the first few. These must be the first ones of the
// whole order, without repetition.
func TestFirstServersAreThoseOfTheWholeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := newFleet(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3)), rapid.IntRange(1, 20).Draw(t, "servers"))
		o := newWeighted(rapid.SampledFrom([]string{"a", "b", "elsewhere"}).Draw(t, "region"))
		object := fmt.Sprint(rapid.Int().Draw(t, "object"))
		o.update(nodes)
		whole := o.first(object, len(nodes))
		require.ElementsMatch(t, nodes, whole)
		limit := rapid.IntRange(0, len(nodes)).Draw(t, "limit")
		require.Equal(t, whole[:limit], o.first(object, limit))
	})
}
