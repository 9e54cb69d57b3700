package brproxy

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/duty/brassignment"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/standin/brobserver"
)

// ignoreEvents is a journal and a poison detector that ignore everything.
type ignoreEvents struct{}

func (ignoreEvents) Decision(string, string, ...any)                 {}
func (ignoreEvents) Failure(string, string, ...any)                  {}
func (ignoreEvents) StateChange(string, ...any)                      {}
func (ignoreEvents) ReportCrash(brrequest.Fingerprint, string)       {}
func (ignoreEvents) ReportCompletion(brrequest.Fingerprint)          {}
func (ignoreEvents) Refused(brrequest.Fingerprint) (time.Time, bool) { return time.Time{}, false }
func (ignoreEvents) IsDead(context.Context, brfleet.Server) bool     { return false }

// hangingUpstream holds each attempt until its context ends, then fails or panics.
type hangingUpstream struct {
	ignoreEvents
	panics bool
}

func (h hangingUpstream) Send(ctx context.Context, _ brfleet.Server, _ brrequest.Request, _ string, _ time.Duration, _ brmessage.Call) (*brmessage.Response, brfleet.ServerReport, error) {
	<-ctx.Done()
	if h.panics {
		panic("abort")
	}
	return nil, brfleet.ServerReport{}, errors.New("connection closed")
}

// gauges returns the attempts in progress and the requests counted at servers.
func gauges(t *testing.T, registry *prometheus.Registry) (attempts, counted float64) {
	t.Helper()
	families, err := registry.Gather()
	require.NoError(t, err)
	for _, f := range families {
		switch f.GetName() {
		case "bergamotroad_attempts_in_progress":
			attempts = f.GetMetric()[0].GetGauge().GetValue()
		case "bergamotroad_server_running_requests":
			counted = f.GetMetric()[0].GetGauge().GetValue()
		default:
		}
	}
	return attempts, counted
}

// Callers leave while their requests wait for a server or run there. Whether an attempt
// returns or panics, both gauges must fall back to 0 and the server get further requests;
// if they differ for long, slots have not been released.
func TestNothingIsInProgressOnceCallersHaveLeft(t *testing.T) {
	for name, upstream := range map[string]hangingUpstream{"attempts fail": {}, "attempts panic": {panics: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := brclock.NewSystem()
				assigner := brassignment.New(clock, brfleet.NewVM("vm-1", "", "").WithLocation("a-1", "a"), brfleet.Bounds{}, nil, ignoreEvents{}, ignoreEvents{})
				group := brduty.NewGroup(t.Context(), clock, brobserver.Nop{})
				group.Start(assigner.Duty())
				defer group.Stop()
				server := brfleet.NewServer("s-0", "lookup", "10.0.0.1:80").WithLocation("a-1", "a").WithSlots(2)
				policy := brfleet.NewPolicy(1, brfleet.Limits{}, nil, nil, nil)
				require.NoError(t, assigner.Views().Send(brfleet.NewView(policy, []brfleet.Server{server}, nil, nil, brset.New[string]())))
				proxy := New(clock, nil, nil, assigner, ignoreEvents{}, nil, upstream, ignoreEvents{})
				registry := prometheus.NewPedanticRegistry()
				registry.MustRegister(assigner.Collectors()...)
				registry.MustRegister(proxy.Collectors()...)

				ctx, cancel := context.WithCancel(t.Context())
				const callers = 20 // most of which wait
				for range callers {
					j := &job{service: "lookup", deadline: clock.Now().Add(time.Minute), query: brplacement.NewQuery("1", "lookup")}
					go func() {
						defer func() { _ = recover() }()
						_ = proxy.run(ctx, j)
					}()
				}
				synctest.Wait()
				attempts, _ := gauges(t, registry)
				require.Positive(t, attempts)
				require.Less(t, attempts, float64(callers))
				cancel()
				time.Sleep(2 * time.Second)
				attempts, counted := gauges(t, registry)
				require.Zero(t, attempts)
				require.Zero(t, counted)
				assignment, err := assigner.Place(t.Context(), brplacement.NewQuery("2", "lookup"), 0, func(choice brplacement.Choice) (brplacement.Outcome, brassignment.VersionResult) {
					return brplacement.NewOutcome(choice.Server(), brrequest.OutcomeAnswered, time.Millisecond), brassignment.VersionResult{}
				})
				require.NoError(t, err)
				require.True(t, assignment.Assigned())
			})
		})
	}
}
