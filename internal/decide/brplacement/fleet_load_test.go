package brplacement_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

const (
	// exchangeInterval and exchangeDelay are how often VMs tell each other their loads, and
	// how old the sums are when they arrive.
	exchangeInterval = 200 * time.Millisecond
	exchangeDelay    = 500 * time.Millisecond
)

// competingView returns a view in which two routes of different priorities use the servers.
func competingView(list []brfleet.Server) *brfleet.View {
	route := func(name string, priority int) brfleet.Route {
		return brfleet.NewRoute(name, "h", "/"+name+"/", brfleet.NewWeightedService("lookup", 100)).WithPriority(priority)
	}
	routes := []brfleet.Route{route("urgent", 1), route("batch", 2)}
	policy := brfleet.NewPolicy(1, brfleet.Limits{}, routes, []brfleet.Service{brfleet.NewService("lookup", 2.6)}, nil)
	return brfleet.NewView(policy, list, nil, nil, brset.New[string]())
}

// exchange lets the VMs tell each other their loads until the end of the simulation.
func (f *loadFleet) exchange() {
	sum := map[brstatus.ServerKey]brstatus.ServerUse{}
	for _, vm := range f.vms {
		for key, use := range vm.ServerUses(f.now) {
			sum[key] = sum[key].Add(use)
		}
	}
	f.after(exchangeDelay, func() {
		for _, vm := range f.vms {
			vm.SetFleetUses(f.now, sum)
		}
	})
	f.after(exchangeInterval, f.exchange)
}

// runCrowd runs 340 VMs, each of which sends to a server about every 7 s, at a fraction of the
// load that the servers carry with warm caches. Objects are spread unevenly over the servers.
func runCrowd(seed uint64, loadFraction float64, exchanges bool) *loadFleet {
	const count, vms, objects = 24, 340, 60
	list := servers(count)
	f := newLoadFleet(seed, vms, list)
	if exchanges {
		for _, vm := range f.vms {
			vm.Update(f.now, competingView(list))
		}
		f.after(0, f.exchange)
	}
	rate := loadFraction * count * loadSlots / hitTime.Seconds()
	object := func() string { return fmt.Sprint("object-", f.random.IntN(objects)) }
	f.run(5*time.Second, rate, object)
	f.inTime, f.late, f.retried, f.refused, f.misses = 0, 0, 0, 0, 0
	f.run(10*time.Second, rate, object)
	return f
}

// Many VMs share servers, and each sends to a server so rarely that what the server reported
// is outdated. Without the loads of the other VMs, requests queue at the servers of popular
// objects while others are idle, and most responses are late.
func TestExchangedLoadsKeepQueuesShort(t *testing.T) {
	for seed := range uint64(3) {
		before, after := runCrowd(seed, 0.9, false), runCrowd(seed, 0.9, true)
		t.Logf("seed %d: each on its own: %s; with exchanged loads: %s", seed, before, after)
		require.Greater(t, after.inTime, before.inTime, "seed %d", seed)
		require.Less(t, after.late, before.late, "seed %d", seed)
	}
}

// Callers send more than the servers carry. What is served must be in time: a late response
// takes the slot that another caller's response in time would have needed.
func TestExchangedLoadsKeepServedRequestsInTimeUnderOverload(t *testing.T) {
	for seed := range uint64(3) {
		before, after := runCrowd(seed, 1.4, false), runCrowd(seed, 1.4, true)
		t.Logf("seed %d: each on its own: %s; with exchanged loads: %s", seed, before, after)
		require.Greater(t, after.inTime, 2*before.inTime, "seed %d", seed)
		require.Less(t, after.late, before.late, "seed %d", seed)
	}
}

// A server fails at all VMs, but each of them has sent it too few requests to tell.
func TestServerThatFailsAtOtherVMsIsAvoided(t *testing.T) {
	list := servers(12)
	vms := []brfleet.VM{}
	for i := range 20 {
		vms = append(vms, brfleet.NewVM(fmt.Sprint("vm-", i), "", "").WithLocation("a-1", "a"))
	}
	v := brfleet.NewView(competingView(list).Policy(), list, vms, nil, brset.New[string]())
	reported := map[brstatus.ServerKey]brstatus.ServerUse{}
	placers := []*brplacement.Placer{}
	for _, vm := range vms {
		p := newPlacer(vm.Name(), "a", v)
		p.RecordOutcome(start, brplacement.NewOutcome(list[0], brrequest.OutcomeFault, 0))
		for key, use := range p.ServerUses(start) {
			reported[key] = reported[key].Add(use)
		}
		placers = append(placers, p)
	}
	require.Equal(t, 20, requestsAt(placers, list[0], start), "before the exchange, each VM uses the server")
	for _, p := range placers {
		p.SetFleetUses(start, reported)
	}
	require.LessOrEqual(t, requestsAt(placers, list[0], start), 2, "a few VMs find out when the server has recovered")
	cutOff := start.Add(2 * time.Second)
	require.Equal(t, 20, requestsAt(placers, list[0], cutOff), "VMs that hear nothing for a while decide on their own")
	for _, p := range placers {
		p.SetFleetUses(cutOff, reported)
	}
	require.LessOrEqual(t, requestsAt(placers, list[0], cutOff), 2)
	later := start.Add(20 * time.Second)
	recovered := map[brstatus.ServerKey]brstatus.ServerUse{}
	for _, p := range placers {
		maps.Copy(recovered, p.ServerUses(later))
	}
	for _, p := range placers {
		p.SetFleetUses(later, recovered)
	}
	require.Equal(t, 20, requestsAt(placers, list[0], later), "no VM has seen a fault lately")
}

// requestsAt returns how many VMs send a request to a server, of those for which it comes
// first in the order of the object. It ends the requests.
func requestsAt(placers []*brplacement.Placer, server brfleet.Server, now time.Time) int {
	count := 0
	for _, p := range placers {
		for object := range 200 {
			choice, ok := p.Pick(now, newQuery("r", fmt.Sprint(object)))
			if !ok {
				continue
			}
			p.RecordOutcome(now, brplacement.NewOutcome(choice.Server(), brrequest.OutcomeCancelled, 0))
			if choice.Server().ID() == server.ID() {
				count++
				break
			}
		}
	}
	return count
}

// All servers of a service reject a part of their requests: avoiding them would leave none.
func TestCommonFailureOfServersIsIgnored(t *testing.T) {
	list := servers(6)
	p := newPlacer("vm-1", "a", competingView(list))
	failing := map[brstatus.ServerKey]brstatus.ServerUse{}
	for _, s := range list {
		failing[brstatus.NewServerKey(s.ID())] = brstatus.ServerUse{}.WithOutcomes(1600, 1600)
	}
	p.SetFleetUses(start, failing)
	placed := 0
	for i := range 18 {
		if _, ok := p.Pick(start, newQuery(fmt.Sprint("r", i), fmt.Sprint(i))); ok {
			placed++
		}
	}
	require.Greater(t, placed, 6)
}

// Loads are exchanged only where the configuration calls for it: the reports of other
// deployments must not grow.
func TestLoadsAreExchangedOnlyWhereRoutesCompete(t *testing.T) {
	list := servers(3)
	p := newPlacer("vm-1", "a", view(list, nil, nil))
	p.RecordOutcome(start, brplacement.NewOutcome(list[0], brrequest.OutcomeFault, 0))
	require.False(t, p.ExchangesLoads())
	require.Empty(t, p.ServerUses(start))
	require.Equal(t, []string{"lookup"}, newPlacer("vm-1", "a", competingView(list)).ExchangedServices())
}
