package brmove_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brmove"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

// observer sends a gate the outcomes of one route.
type observer struct {
	gate *brmove.Gate
	now  time.Time
}

func newObserver() observer {
	s := newSimulation(brunit.New(1, 3), time.Hour, 1, 40, 1)
	return observer{gate: brmove.NewGate(s.now, s.record), now: s.now}
}

// observe sends answers in time, and requests that their callers cancelled after a second.
func (o observer) observe(version string, answered, cancelled int, fate brrequest.Fate) {
	for range answered {
		o.gate.Observe(o.now, version, brrequest.NewOutcome("s", brrequest.OutcomeAnswered, 10*time.Millisecond).WithRoute("r"))
	}
	for range cancelled {
		o.gate.Observe(o.now, version, brrequest.NewOutcome("s", brrequest.OutcomeCancelled, time.Second).WithRoute("r").WithFate(fate))
	}
}

// Guards against a version that answers only after its callers have left, and is moved to since
// cancelled requests count for nothing. It is the cause of the review's case 7 (EXPOSURE) in
// serve, whose callers may have deadlines before the route's timeout.
func TestVersionThatOutlastsItsCallersIsStopped(t *testing.T) {
	o := newObserver()
	o.observe(oldVersion, 200, 2, brrequest.FateUnknown)
	o.observe(newVersion, 40, 40, brrequest.FateUnknown)
	require.Equal(t, "latency on route r", o.gate.StopReason())
}

// Callers that leave a slow service, or requests that never got to a server, don't condemn a
// version.
func TestCancelledRequestsThatShowNothing(t *testing.T) {
	slow := newObserver()
	slow.observe(oldVersion, 140, 0, brrequest.FateUnknown)
	slow.observe(oldVersion, 0, 60, brrequest.FateUnknown)
	slow.observe(newVersion, 56, 24, brrequest.FateUnknown)
	require.Empty(t, slow.gate.StopReason())
	unsent := newObserver()
	unsent.observe(oldVersion, 200, 0, brrequest.FateUnknown)
	unsent.observe(newVersion, 40, 40, brrequest.FateNotRun)
	require.Empty(t, unsent.gate.StopReason())
}
