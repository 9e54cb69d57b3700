package brbalance_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brbalance"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

var kinds = []brrequest.OutcomeKind{
	brrequest.OutcomeAnswered, brrequest.OutcomeFault, brrequest.OutcomeShed,
	brrequest.OutcomeNotSent, brrequest.OutcomeBroken, brrequest.OutcomeCancelled,
}

// For any sequence of outcomes, a server never runs more requests of one VM than it
// has slots, and at most 30% of a service's servers, or one of a few, are ejected.
func TestSlotsAndEjectionsAreBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(rt, "servers")
		snapshot, _ := serversOf(t, count)
		balancer := brbalance.NewBalancer[brbalance.LeastLoaded]("vm-0", "este-a", 1)
		now := experimentStart
		balancer.Update(now, snapshot)
		running := []string{}
		rt.Repeat(map[string]func(*rapid.T){
			"pick": func(*rapid.T) {
				if server, ok := balancer.Pick(now, brrequest.NewPlacement("lookup", "")).Get(); ok {
					running = append(running, server.Name())
				}
			},
			"release": func(rt *rapid.T) {
				if len(running) == 0 {
					return
				}
				i := rapid.IntRange(0, len(running)-1).Draw(rt, "index")
				kind := rapid.SampledFrom(kinds).Draw(rt, "kind")
				balancer.Release(now, brrequest.NewOutcome(running[i], kind, time.Millisecond))
				running = slices.Delete(running, i, i+1)
			},
			"wait": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(rt, "ms")) * time.Millisecond)
			},
			"update": func(*rapid.T) { balancer.Update(now, snapshot) },
			"": func(rt *rapid.T) {
				require.LessOrEqual(rt, balancer.Ejected("lookup"), max(count*3/10, min(1, count-1)))
				for i := range count {
					require.LessOrEqual(rt, balancer.InFlight(fmt.Sprintf("s%02d", i)), experimentSlots)
				}
			},
		})
	})
}

func TestEjectedServerReturnsAfterOneProbe(t *testing.T) {
	snapshot, _ := serversOf(t, 2)
	balancer := brbalance.NewBalancer[brbalance.LeastLoaded]("vm-0", "este-a", 1)
	now := experimentStart
	balancer.Update(now, snapshot)
	placement := brrequest.NewPlacement("lookup", "").Excluding("s01")
	for range 3 {
		server, ok := balancer.Pick(now, placement).Get()
		require.True(t, ok)
		balancer.Release(now, brrequest.NewOutcome(server.Name(), brrequest.OutcomeNotSent, 0))
	}
	require.Equal(t, 1, balancer.Ejected("lookup"))
	require.False(t, balancer.Pick(now, placement).IsPresent())
	now = now.Add(2 * time.Second)
	require.True(t, balancer.Pick(now, placement).IsPresent())
	require.False(t, balancer.Pick(now, placement).IsPresent(), "one probe at a time")
	balancer.Release(now, brrequest.NewOutcome("s00", brrequest.OutcomeAnswered, time.Millisecond))
	require.Zero(t, balancer.Ejected("lookup"))
}

func TestLeavingServerGetsNothing(t *testing.T) {
	snapshot, servers := serversOf(t, 1)
	balancer := brbalance.NewBalancer[brbalance.LeastLoaded]("vm-0", "este-a", 1)
	balancer.Update(experimentStart, snapshot)
	require.True(t, balancer.Pick(experimentStart, brrequest.NewPlacement("lookup", "")).IsPresent())
	left, err := snapshot.Apply(2, []brconfig.Change{brconfig.Put(servers[0].WithState(brconfig.ServerLeaving))})
	require.NoError(t, err)
	balancer.Update(experimentStart, left)
	require.False(t, balancer.Pick(experimentStart, brrequest.NewPlacement("lookup", "")).IsPresent())
	require.Equal(t, 1, balancer.InFlight("s00"))
}
