package brplacement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

var crashingRequest = brrequest.NewFingerprint("entries", "POST", "/poison", nil, 0)

func brokenOutcome(server string) brplacement.Outcome {
	return brplacement.NewOutcome(brfleet.NewServer(server, "lookup", ""), brrequest.OutcomeBroken, 0).WithRequest(crashingRequest)
}

func notSent(server string) brplacement.Outcome {
	return brplacement.NewOutcome(brfleet.NewServer(server, "lookup", ""), brrequest.OutcomeNotSent, 0)
}

func TestBrokenRequestThenUnreachableServerIsCrash(t *testing.T) {
	p := newPlacer("vm-1", "a", view(servers(2), nil, nil))
	p.RecordOutcome(start, brokenOutcome("s-00"))
	require.Empty(t, p.TakeCrashes(), "the connection alone may have broken")
	p.RecordOutcome(start.Add(time.Second), notSent("s-01"))
	require.Empty(t, p.TakeCrashes(), "a different server is unreachable")
	p.RecordOutcome(start.Add(time.Second), notSent("s-00"))
	crashes := p.TakeCrashes()
	require.Len(t, crashes, 1)
	require.Equal(t, crashingRequest, crashes[0].Request())
	require.Empty(t, p.TakeCrashes(), "the crash was returned before")
	p.RecordOutcome(start.Add(2*time.Second), notSent("s-00"))
	require.Empty(t, p.TakeCrashes(), "the server is still down after the same crash")
}

func TestBrokenRequestAtDeadServerIsCrash(t *testing.T) {
	p := newPlacer("vm-1", "a", view(servers(2), nil, nil))
	p.RecordOutcome(start, brokenOutcome("s-00").WithServerDown(true))
	require.Len(t, p.TakeCrashes(), 1)
}

func TestAnswerToLaterRequestRulesOutCrash(t *testing.T) {
	p := newPlacer("vm-1", "a", view(servers(1), nil, nil))
	p.RecordOutcome(start, brokenOutcome("s-00"))
	p.RecordOutcome(start.Add(100*time.Millisecond), answered("s-00")) // sent 100 ms before the connection broke
	p.RecordOutcome(start.Add(time.Second), notSent("s-00"))
	require.Len(t, p.TakeCrashes(), 1, "an answer to a request that was sent before the connection broke proves nothing")

	p.RecordOutcome(start.Add(2*time.Second), brokenOutcome("s-00"))
	p.RecordOutcome(start.Add(3*time.Second), answered("s-00"))
	p.RecordOutcome(start.Add(4*time.Second), notSent("s-00"))
	require.Empty(t, p.TakeCrashes())
}

func TestRestartAfterBrokenRequestIsCrash(t *testing.T) {
	list := servers(1)
	p := newPlacer("vm-1", "a", view(list, nil, nil))
	p.RecordOutcome(start, brokenOutcome("s-00"))
	restarted := []brfleet.Server{list[0].WithStart(77, 0)}
	p.Update(start.Add(3*time.Second), view(restarted, nil, nil))
	first := p.TakeCrashes()
	require.Len(t, first, 1)

	p.RecordOutcome(start.Add(4*time.Second), brokenOutcome("s-00"))
	p.RecordOutcome(start.Add(5*time.Second), notSent("s-00"))
	second := p.TakeCrashes()
	require.Len(t, second, 1)
	require.NotEqual(t, first[0].Server(), second[0].Server(), "the second crash is of another run of the server")
}

func TestOldBrokenRequestIsNotCauseOfCrash(t *testing.T) {
	p := newPlacer("vm-1", "a", view(servers(1), nil, nil))
	p.RecordOutcome(start, brokenOutcome("s-00"))
	p.RecordOutcome(start.Add(time.Minute), notSent("s-00"))
	require.Empty(t, p.TakeCrashes())
}

func TestUnregisteredServerCountsAsCrashedUnlessDraining(t *testing.T) {
	list := servers(3)
	p := newPlacer("vm-1", "a", view(list, nil, nil))
	p.RecordOutcome(start, brokenOutcome("s-00"))
	p.Update(start.Add(time.Second), view(list[1:], nil, nil))
	require.Len(t, p.TakeCrashes(), 1)

	p.RecordOutcome(start.Add(time.Second), brokenOutcome("s-01"))
	leaving := []brfleet.Server{list[1].WithDraining(true), list[2]}
	p.Update(start.Add(2*time.Second), view(leaving, nil, nil))
	p.Update(start.Add(3*time.Second), view(list[2:], nil, nil))
	require.Empty(t, p.TakeCrashes(), "the server had announced that it drains")
}
