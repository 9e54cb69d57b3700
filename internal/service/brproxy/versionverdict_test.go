package brproxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/duty/brassignment"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// choiceOf returns the choice of the only server of a service, which is cold or not.
func choiceOf(t *testing.T, isCold bool) brplacement.Choice {
	t.Helper()
	now := time.Unix(1000, 0)
	cold := time.Duration(0)
	if isCold {
		cold = time.Minute
	}
	server := brfleet.NewServer("i-1", "lookup", "10.0.0.1:80").WithVersion("v2").WithSlots(3).WithStart(1, cold)
	placer := brplacement.New("vm-1", "north")
	placer.Update(now, brfleet.NewView(brfleet.Policy{}, []brfleet.Server{server}, nil, nil, brset.New[string]()))
	choice, ok := placer.Pick(now, brplacement.NewQuery("r-1", "lookup").WithTimeLimits(time.Second, now.Add(time.Minute)))
	require.True(t, ok)
	require.Equal(t, isCold, choice.IsCold())
	return choice
}

// Guards against requests that end without a response and count for nothing, so that a version
// that outlasts the timeout looks like one without requests (EXPOSURE, review case 7). Also
// against evidence that is none: a caller that leaves early, a request that never got there,
// a server that has just started, a caller that reads slowly.
func TestVersionVerdicts(t *testing.T) {
	ran, notRun, started := Result{fate: brrequest.FateUnknown}, Result{fate: brrequest.FateNotRun}, Result{fate: brrequest.FateRan, started: true}
	route := brfleet.NewRoute("r", "depot.example", "/look/")
	for _, c := range []struct {
		name      string
		objective time.Duration
		isCold    bool
		result    Result
		kind      brrequest.OutcomeKind
		latency   time.Duration
		verdict   brassignment.VersionVerdict
	}{
		{"answer in time", time.Second, false, ran, brrequest.OutcomeAnswered, time.Second, brassignment.VersionGood},
		{"answer of a cold server", time.Second, true, ran, brrequest.OutcomeAnswered, time.Second, brassignment.VersionGood},
		{"far too late", time.Second, false, ran, brrequest.OutcomeAnswered, 5 * time.Second, brassignment.VersionBad},
		{"server error", time.Second, true, ran, brrequest.OutcomeFault, time.Millisecond, brassignment.VersionBad},
		{"broken connection", time.Second, false, ran, brrequest.OutcomeBroken, time.Millisecond, brassignment.VersionBad},
		{"timeout", time.Second, false, ran, brrequest.OutcomeCancelled, 2 * time.Second, brassignment.VersionOverdue},
		{"timeout at a cold server", time.Second, true, ran, brrequest.OutcomeCancelled, 2 * time.Second, brassignment.VersionUnjudged},
		{"caller left early", time.Second, false, ran, brrequest.OutcomeCancelled, 900 * time.Millisecond, brassignment.VersionUnjudged},
		{"never got there", time.Second, false, notRun, brrequest.OutcomeCancelled, 2 * time.Second, brassignment.VersionUnjudged},
		{"not reached", time.Second, false, notRun, brrequest.OutcomeNotSent, 2 * time.Second, brassignment.VersionUnjudged},
		{"shed", time.Second, false, notRun, brrequest.OutcomeShed, time.Millisecond, brassignment.VersionUnjudged},
		{"caller left within the body", time.Second, false, started, brrequest.OutcomeCancelled, time.Millisecond, brassignment.VersionUnjudged},
		{"no objective, timeout", 0, false, ran, brrequest.OutcomeCancelled, 2 * time.Second, brassignment.VersionOverdue},
		{"no objective, left early", 0, false, ran, brrequest.OutcomeCancelled, 900 * time.Millisecond, brassignment.VersionUnjudged},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := &job{route: route.WithTimes(2*time.Second, c.objective), choice: choiceOf(t, c.isCold)}
			require.Equal(t, c.verdict, versionVerdict(j, c.result, c.kind, c.latency))
		})
	}
}
