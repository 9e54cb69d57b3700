package brplacement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

var start = time.Unix(1000, 0)

// domains has two failure domains in each of three regions.
var domains = []struct{ domain, region string }{
	{"a-1", "a"},
	{"a-2", "a"},
	{"b-1", "b"},
	{"b-2", "b"},
	{"c-1", "c"},
	{"c-2", "c"},
}

func servers(count int) []brfleet.Server {
	list := []brfleet.Server{}
	for i := range count {
		location := domains[i%len(domains)]
		list = append(list, brfleet.NewServer(fmt.Sprintf("s-%02d", i), "lookup", fmt.Sprintf("10.0.0.%d:80", i)).
			WithLocation(location.domain, location.region).WithVersion("v1").WithSlots(3))
	}
	return list
}

func policy() brfleet.Policy {
	service := brfleet.NewService("lookup", 2.6)
	return brfleet.NewPolicy(1, brfleet.Limits{}, nil, []brfleet.Service{service}, nil)
}

func view(list []brfleet.Server, vms []brfleet.VM, rollouts []brfleet.Rollout, evacuated ...string) *brfleet.View {
	return brfleet.NewView(policy(), list, vms, rollouts, brset.New(evacuated...))
}

func newPlacer(vm, region string, v *brfleet.View) *brplacement.Placer {
	p := brplacement.New(vm, region)
	p.Update(start, v)
	return p
}

func newQuery(id, object string) brplacement.Query {
	return brplacement.NewQuery(id, "lookup").WithObject(object).WithTimeLimits(400*time.Millisecond, start.Add(3*time.Second))
}

func answered(server string) brplacement.Outcome {
	return brplacement.NewOutcome(brfleet.NewServer(server, "lookup", ""), brrequest.OutcomeAnswered, 200*time.Millisecond)
}

// Many callers request the same objects through all VMs of a region. All VMs
// must send an object to the same server.
func TestObjectIsHandledByOneServerOnAllVMs(t *testing.T) {
	v := view(servers(12), nil, nil)
	first := newPlacer("vm-1", "a", v)
	second := newPlacer("vm-2", "a", v)
	for object := range 72 {
		firstChoice, ok := first.Pick(start, newQuery("r1", fmt.Sprint(object)))
		require.True(t, ok)
		secondChoice, ok := second.Pick(start, newQuery("r2", fmt.Sprint(object)))
		require.True(t, ok)
		require.Equal(t, firstChoice.Server().ID(), secondChoice.Server().ID())
		require.Zero(t, firstChoice.Rank())
		first.RecordOutcome(start, answered(firstChoice.Server().ID()))
		second.RecordOutcome(start, answered(secondChoice.Server().ID()))
	}
}

// A server is removed while callers request the same objects. Objects of other
// servers must hardly move, since each that moves is a cache miss.
func TestRemovedServerMovesOnlyItsObjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := servers(12)
		removed := list[rapid.IntRange(0, 11).Draw(t, "removed")]
		remaining := []brfleet.Server{}
		for _, s := range list {
			if s.ID() != removed.ID() {
				remaining = append(remaining, s)
			}
		}
		before, after := newPlacer("vm-1", "a", view(list, nil, nil)), newPlacer("vm-1", "a", view(remaining, nil, nil))
		moved := 0
		for object := range 40 {
			choiceBefore, _ := before.Pick(start, newQuery("r", fmt.Sprint(object)))
			choiceAfter, _ := after.Pick(start, newQuery("r", fmt.Sprint(object)))
			before.RecordOutcome(start, answered(choiceBefore.Server().ID()))
			after.RecordOutcome(start, answered(choiceAfter.Server().ID()))
			if choiceBefore.Server().ID() != choiceAfter.Server().ID() && choiceBefore.Server().ID() != removed.ID() {
				moved++
			}
		}
		// Some objects of other servers move because the region has fewer slots and
		// keeps fewer objects.
		require.LessOrEqual(t, moved, 8)
	})
}

// Whatever the load, no request may go to a server that is draining, in an
// evacuated domain, outside the allowed regions or tried before, or that runs a
// version which the rollout does not allow.
func TestForbiddenServersAreNeverChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := servers(18)
		for i := range list {
			list[i] = list[i].WithDraining(rapid.Bool().Draw(t, "draining")).
				WithVersion(rapid.SampledFrom([]string{"v1", "v1", "v2"}).Draw(t, "version"))
		}
		state := rapid.SampledFrom([]brfleet.RolloutState{
			brfleet.RolloutOrdered, brfleet.RolloutRunning, brfleet.RolloutSucceeded, brfleet.RolloutRolledBack,
		}).Draw(t, "state")
		rollout := brfleet.NewRollout("lookup", "v2", time.Minute, 7).WithState(state)
		p := newPlacer("vm-1", "a", view(list, nil, []brfleet.Rollout{rollout}, "b-1"))
		halted := rapid.Bool().Draw(t, "halted")
		p.SetExposures(map[string]brplacement.Exposure{"lookup": brplacement.NewExposure(7, 0.5).WithHalted(halted)})
		byID := map[string]brfleet.Server{}
		for _, s := range list {
			byID[s.ID()] = s
		}
		for i := range 60 {
			query := newQuery(fmt.Sprint(i), fmt.Sprint(i%9)).WithAllowedRegions(brset.New("a", "b")).Excluding("s-00")
			choice, ok := p.Pick(start, query)
			if !ok {
				continue
			}
			s := byID[choice.Server().ID()]
			require.False(t, s.Draining())
			require.NotEqual(t, "b-1", s.Domain())
			require.NotEqual(t, "c", s.Region())
			require.NotEqual(t, "s-00", s.ID())
			switch state {
			case brfleet.RolloutSucceeded:
				require.Equal(t, "v2", s.Version())
			case brfleet.RolloutRolledBack:
				require.Equal(t, "v1", s.Version())
			default:
				require.False(t, halted && s.Version() == "v2")
			}
			if rapid.Bool().Draw(t, "ends") {
				p.RecordOutcome(start, answered(s.ID()))
			}
		}
	})
}

// A version that appears without a rollout gets no requests; after its rollout
// has succeeded it gets all.
func TestVersionWithoutRolloutGetsNoRequests(t *testing.T) {
	old := servers(6)
	p := newPlacer("vm-1", "a", view(old, nil, nil))
	both := append(servers(6), servers(12)[6:]...)
	for i := 6; i < 12; i++ {
		both[i] = both[i].WithVersion("v2")
	}
	p.Update(start, view(both, nil, nil))
	for i := range 100 {
		choice, ok := p.Pick(start, newQuery(fmt.Sprint(i), fmt.Sprint(i)))
		if ok {
			require.Equal(t, "v1", choice.Server().Version())
		}
	}
	done := brfleet.NewRollout("lookup", "v2", time.Minute, 7).WithState(brfleet.RolloutSucceeded)
	p.Update(start, view(both[6:], nil, []brfleet.Rollout{done}))
	choice, ok := p.Pick(start, newQuery("r", "o"))
	require.True(t, ok)
	require.Equal(t, "v2", choice.Server().Version())
}

// The target version of a running rollout gets the fraction of requests that the
// exposure sets.
func TestUnprovenVersionGetsItsExposure(t *testing.T) {
	list := servers(12)
	for i := 6; i < 12; i++ {
		list[i] = list[i].WithVersion("v2")
	}
	rollout := brfleet.NewRollout("lookup", "v2", time.Minute, 7).WithState(brfleet.RolloutRunning)
	p := newPlacer("vm-1", "a", view(list, nil, []brfleet.Rollout{rollout}))
	p.SetExposures(map[string]brplacement.Exposure{"lookup": brplacement.NewExposure(7, 0.075)})
	exposed := 0
	const requests = 4000
	for i := range requests {
		choice, ok := p.Pick(start, newQuery(fmt.Sprintf("request-%d", i), fmt.Sprint(i%72)))
		require.True(t, ok)
		if choice.Server().Version() == "v2" {
			exposed++
		}
		p.RecordOutcome(start, answered(choice.Server().ID()))
	}
	require.InDelta(t, 0.075*requests, exposed, 60)
}

// All servers are cold while VMs that don't communicate send them a high load. In any
// second no cold server may get more requests than 1.5 times its cold rate plus a
// burst of 5.
func TestColdServerRateIsBoundedAcrossVMs(t *testing.T) {
	const vms = 11
	const maxPerSecond = 2.6*1.5 + 5
	registered := []brfleet.VM{}
	for i := range vms {
		registered = append(registered, brfleet.NewVM(fmt.Sprintf("vm-%d", i), "", "").WithLocation("a-1", "a"))
	}
	list := servers(6)
	for i := range list {
		list[i] = list[i].WithStart(1, 3*time.Second).WithSlots(50)
	}
	v := view(list, registered, nil)
	placers := []*brplacement.Placer{}
	for i := range vms {
		placers = append(placers, newPlacer(registered[i].Name(), "a", v))
	}
	sentAt := map[string][]time.Duration{}
	for elapsed := time.Duration(0); elapsed < 3*time.Second; elapsed += 10 * time.Millisecond {
		for i, p := range placers {
			choice, ok := p.Pick(start.Add(elapsed), newQuery(fmt.Sprint(i, elapsed), fmt.Sprint(i, elapsed)))
			if ok {
				sentAt[choice.Server().ID()] = append(sentAt[choice.Server().ID()], elapsed)
			}
		}
	}
	require.NotEmpty(t, sentAt)
	for id, times := range sentAt {
		from := 0
		for to := range times {
			for times[to]-times[from] > time.Second {
				from++
			}
			require.LessOrEqual(t, float64(to-from+1), maxPerSecond, id)
		}
	}
}

// Requests for one object exceed the capacity of its servers. They must go to
// its second server or wait, so that other servers stay free for their own
// objects.
func TestBusyServiceKeepsObjectsOnTheirServers(t *testing.T) {
	p := newPlacer("vm-1", "a", view(servers(12), nil, nil))
	requestsByServer := map[string]int{}
	refused := 0
	// Requests of other VMs make the service busy.
	for _, s := range servers(12) {
		p.RecordOutcome(start, answered(s.ID()).WithReport(brfleet.ServerReport{}.WithLoad(broption.Some(brfleet.NewLoad(2, 0)))))
	}
	for i := range 40 {
		choice, ok := p.Pick(start, newQuery(fmt.Sprint(i), "cylinder-7"))
		if !ok {
			refused++
			continue
		}
		requestsByServer[choice.Server().ID()]++
	}
	require.LessOrEqual(t, len(requestsByServer), 2)
	require.Positive(t, refused)
}

// An unreachable server gets no requests while it is ejected, then a single request
// as a probe.
func TestUnreachableServerIsEjectedThenProbed(t *testing.T) {
	p := newPlacer("vm-1", "a", view(servers(6), nil, nil))
	first, ok := p.Pick(start, newQuery("r", "o"))
	require.True(t, ok)
	id := first.Server().ID()
	p.RecordOutcome(start, brplacement.NewOutcome(brfleet.NewServer(id, "lookup", ""), brrequest.OutcomeNotSent, 0))
	for i := range 20 {
		choice, ok := p.Pick(start.Add(100*time.Millisecond), newQuery(fmt.Sprint(i), "o"))
		if ok {
			require.NotEqual(t, id, choice.Server().ID())
			p.RecordOutcome(start.Add(100*time.Millisecond), answered(choice.Server().ID()))
		}
	}
	later := start.Add(5 * time.Second)
	probes := 0
	for i := range 20 {
		choice, ok := p.Pick(later, newQuery(fmt.Sprint(i), "o"))
		if ok && choice.Server().ID() == id {
			probes++
		}
	}
	require.Equal(t, 1, probes, "a single request probes whether the server is back")
}

// A server that restarts under the same identifier gets fresh state.
func TestRestartedServerHasFreshState(t *testing.T) {
	list := servers(1)
	p := newPlacer("vm-1", "a", view(list, nil, nil))
	for i := range 3 {
		_, ok := p.Pick(start, newQuery(fmt.Sprint(i), "o"))
		require.True(t, ok)
	}
	list[0] = list[0].WithStart(99, 0)
	p.Update(start, view(list, nil, nil))
	choice, ok := p.Pick(start, newQuery("r", "o"))
	require.True(t, ok)
	require.Zero(t, choice.Load())
}

// Load exceeds capacity. The most urgent requests go first, then those that are
// retried after a refusal, since their callers give up soonest.
func TestQueueServesUrgentThenRetriedRequests(t *testing.T) {
	queue := brplacement.Queue[string]{}
	add := func(name string, priority int, untilDeadline time.Duration) {
		query := brplacement.NewQuery(name, "lookup").WithPriority(priority).WithTimeLimits(time.Second, start.Add(untilDeadline))
		require.True(t, queue.Add(query, start.Add(50*time.Millisecond), name))
	}
	add("fresh", 1, 3*time.Second)
	add("less urgent", 2, time.Second)
	add("retried", 1, 2*time.Second)
	add("urgent", 0, 4*time.Second)
	order := []string{}
	queue.Serve(func(_ brplacement.Query, name string) bool {
		order = append(order, name)
		return len(order) < 4
	})
	require.Equal(t, []string{"urgent", "retried", "fresh", "less urgent"}, order)
	require.Equal(t, []string{"less urgent"}, queue.Expire(start.Add(time.Second)))
	require.Zero(t, queue.Len())
}

// A region with few servers keeps few of its objects and sends the others to other
// regions; a region with many servers keeps most.
func TestRegionKeepsObjectsInProportionToItsSlots(t *testing.T) {
	list := []brfleet.Server{}
	for i, region := range []string{"a", "b", "b", "b", "b", "b", "c", "c", "c", "c", "c", "c"} {
		list = append(list, brfleet.NewServer(fmt.Sprintf("s-%02d", i), "lookup", "h:1").WithLocation(region, region).WithVersion("v1").WithSlots(3))
	}
	localFraction := func(region string) float64 {
		p := newPlacer("vm-1", region, view(list, nil, nil))
		local := 0
		for object := range 500 {
			choice, ok := p.Pick(start, newQuery("r", fmt.Sprint(object)))
			require.True(t, ok)
			if choice.Server().Region() == region {
				local++
			}
			p.RecordOutcome(start, answered(choice.Server().ID()))
		}
		return float64(local) / 500
	}
	require.Less(t, localFraction("a"), 0.35)
	require.Greater(t, localFraction("c"), 0.8)
}
