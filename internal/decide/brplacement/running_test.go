package brplacement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// fill assigns requests until the server of the view has no capacity left, and returns
// their number.
func fill(t *testing.T, p *brplacement.Placer) int {
	for i := range 100 {
		if _, ok := p.Pick(start, newQuery(fmt.Sprint(i), "a")); !ok {
			return i
		}
	}
	require.Fail(t, "the server's capacity is not limited")
	return 0
}

// A server is missing from one view while requests run there. When it is back, it must not
// get a full load in addition to them, nor must their ends be taken off the count of others.
func TestServerThatComesBackKeepsItsRunningRequests(t *testing.T) {
	list := servers(1)
	p := newPlacer("vm-1", "a", view(list, nil, nil))
	count := fill(t, p)
	p.Update(start, view(nil, nil, nil))
	require.Equal(t, map[string]int{"lookup": count}, p.Running())
	p.RecordOutcome(start, brplacement.NewOutcome(list[0], brrequest.OutcomeAnswered, time.Millisecond))
	p.Update(start, view(list, nil, nil))
	require.Equal(t, count-1, p.RunningAt(list[0]))
	require.Equal(t, 1, fill(t, p))
	for range count {
		p.RecordOutcome(start, brplacement.NewOutcome(list[0], brrequest.OutcomeAnswered, time.Millisecond))
	}
	require.Equal(t, map[string]int{"lookup": 0}, p.Running())
}

// A server restarts while requests run there. Their ends must not be taken off the count of
// its new run, which would get more requests than it has capacity for.
func TestEndsOfRequestsAtAnEarlierRunDontCountForTheNewOne(t *testing.T) {
	old := servers(1)
	p := newPlacer("vm-1", "a", view(old, nil, nil))
	count := fill(t, p)
	restarted := []brfleet.Server{old[0].WithStart(1, 0)}
	p.Update(start, view(restarted, nil, nil))
	require.Equal(t, count, fill(t, p))
	for range count {
		p.RecordOutcome(start, brplacement.NewOutcome(old[0], brrequest.OutcomeAnswered, time.Millisecond))
	}
	require.Zero(t, fill(t, p))
	require.Equal(t, map[string]int{"lookup": count}, p.Running())
}

// A server is registered with another address under the same start time. It is the same run,
// so that the requests that were sent to the former address still count.
func TestServerWithNewAddressKeepsItsRunningRequests(t *testing.T) {
	list := servers(1)
	p := newPlacer("vm-1", "a", view(list, nil, nil))
	count := fill(t, p)
	moved := brfleet.NewServer(list[0].ID(), "lookup", "10.0.0.9:80").WithLocation("a-1", "a").WithVersion("v1").WithSlots(3)
	p.Update(start, view([]brfleet.Server{moved}, nil, nil))
	require.Zero(t, fill(t, p))
	for range count {
		p.RecordOutcome(start, brplacement.NewOutcome(list[0], brrequest.OutcomeAnswered, time.Millisecond))
	}
	require.Equal(t, map[string]int{"lookup": 0}, p.Running())
}
