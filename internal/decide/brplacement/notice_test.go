package brplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/standin/brschedule"
)

var (
	leavingReport = brfleet.ServerReport{}.WithLeaving(true)
	quietReport   = brfleet.ServerReport{}.WithRetryAfter(2 * time.Second)
)

func shed(server brfleet.Server, report brfleet.ServerReport) brplacement.Outcome {
	return brplacement.NewOutcome(server, brrequest.OutcomeShed, 0).WithReport(report)
}

// The list says "ready" for as long as it is stale, is read again, or comes from another
// VM; the server has said in an answer that it leaves.
func TestServerThatLeavesGetsNoRequestWhateverTheListSays(t *testing.T) {
	list := servers(3)
	p := newPlacer("vm-1", "a", view(list, nil, nil))
	p.RecordOutcome(start, brplacement.NewOutcome(list[0], brrequest.OutcomeAnswered, time.Millisecond).WithReport(leavingReport))
	for i := range 60 {
		now := start.Add(time.Duration(i) * time.Minute)
		switch i % 20 {
		case 5:
			p.Update(now, view(list[1:], nil, nil))
		case 10:
			p.Update(now, view(list, nil, nil))
		}
		choice, ok := p.Pick(now, newQuery(fmt.Sprint(i), fmt.Sprint(i)))
		require.True(t, ok)
		require.NotEqual(t, list[0].ID(), choice.Server().ID())
		p.RecordOutcome(now, brplacement.NewOutcome(choice.Server(), brrequest.OutcomeAnswered, time.Millisecond))
	}
	later := list[0].WithStart(list[0].StartUnixMilli()+1, 0)
	p.Update(start, view([]brfleet.Server{later}, nil, nil))
	_, ok := p.Pick(start, newQuery("r", "o"))
	require.True(t, ok, "a later run of the server gets requests")
}

// If all servers want no requests for a time, callers have to be told when that ends.
func TestAvailabilityTellsWhenServersWantRequestsAgain(t *testing.T) {
	list := servers(2)
	p := newPlacer("vm-1", "a", view(list, nil, nil))
	p.RecordOutcome(start, shed(list[0], quietReport))
	require.True(t, p.Availability(start, newQuery("r", "o")).HasCandidates())
	p.RecordOutcome(start, shed(list[1], brfleet.ServerReport{}.WithRetryAfter(time.Hour)))
	availability := p.Availability(start, newQuery("r", "o"))
	require.False(t, availability.HasCandidates())
	until, quiet := availability.QuietUntil()
	require.True(t, quiet)
	require.GreaterOrEqual(t, until.Sub(start), 2*time.Second)
	require.LessOrEqual(t, until.Sub(start), 3*time.Second)
	_, ok := p.Pick(start.Add(time.Second), newQuery("r", "o"))
	require.False(t, ok)
	require.True(t, p.Availability(until, newQuery("r", "o")).HasCandidates())
}

// Load pattern: a third of the servers reject everything for a while and ask for quiet,
// under the load of many VMs that place by themselves. After half a second no server may
// get more than two requests of a VM within the time that it asked for.
func TestQuietServersGetNothingUnderLoad(t *testing.T) {
	const (
		vmCount   = 20
		requests  = 8000
		interval  = 2 * time.Millisecond
		delay     = 12 * time.Millisecond
		work      = 60 * time.Millisecond
		allowance = 2
	)
	list := servers(9)
	v := view(list, nil, nil)
	placers := []*brplacement.Placer{}
	for i := range vmCount {
		placers = append(placers, newPlacer(fmt.Sprint("vm-", i), "a", v))
	}
	random := rand.New(rand.NewPCG(1, 2))
	schedule, now := &brschedule.Schedule{}, start
	type pair struct {
		vm     int
		server string
	}
	quietSince, arrivals, served := map[pair]time.Time{}, map[pair]int{}, 0
	overloaded := func(server brfleet.Server) bool {
		return server.ID() < list[3].ID() && now.Sub(start) > 2*time.Second && now.Sub(start) < 6*time.Second
	}
	arrive := func(vm int, server brfleet.Server) {
		at := pair{vm: vm, server: server.ID()}
		if since, ok := quietSince[at]; ok && now.Sub(since) > 500*time.Millisecond && now.Sub(since) < 2*time.Second {
			arrivals[at]++
		}
		if overloaded(server) {
			quietSince[at] = now
			schedule.Add(now.Add(delay), func() { placers[vm].RecordOutcome(now, shed(server, quietReport)) })
			return
		}
		served++
		schedule.Add(now.Add(work), func() {
			placers[vm].RecordOutcome(now, brplacement.NewOutcome(server, brrequest.OutcomeAnswered, work))
		})
	}
	for i := range requests {
		schedule.Add(start.Add(time.Duration(i)*interval), func() {
			vm := random.IntN(vmCount)
			if choice, ok := placers[vm].Pick(now, newQuery(fmt.Sprint(i), fmt.Sprint(random.IntN(40)))); ok {
				schedule.Add(now.Add(delay), func() { arrive(vm, choice.Server()) })
			}
		})
	}
	for at, ok := schedule.Next(); ok; at, ok = schedule.Next() {
		now = at
		schedule.Run()
	}
	for at, count := range arrivals {
		require.LessOrEqual(t, count, allowance, "server %s gets requests of VM %d", at.server, at.vm)
	}
	require.Greater(t, served, requests/2)
}
