package brassignment

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/standin/brobserver"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// services are the services of the tests. Each has serversPerService servers.
var services = []string{"lookup", "entry"}

const serversPerService = 2

type stepKind int

const (
	stepAsk stepKind = iota
	stepCancel
	stepEnd
	stepWait
	stepView
)

// step is one event in the history of a VM.
type step struct {
	kind    stepKind
	service string
	object  string
	maxWait time.Duration
	caller  int
	outcome brrequest.OutcomeKind
	retries bool
	pause   time.Duration
	servers []registration
	// settles is false if the next step happens at the same time.
	settles bool
}

// registration is a server's entry in a view.
type registration struct {
	absent, draining, evacuated, restarted bool
}

func drawStep(t *rapid.T) step {
	s := step{
		kind:    rapid.SampledFrom([]stepKind{stepAsk, stepAsk, stepAsk, stepAsk, stepCancel, stepCancel, stepEnd, stepEnd, stepWait, stepView}).Draw(t, "kind"),
		service: rapid.SampledFrom(services).Draw(t, "service"),
		object:  rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "object"),
		maxWait: time.Duration(rapid.SampledFrom([]int{0, 50, 2000}).Draw(t, "longest wait")) * time.Millisecond,
		caller:  rapid.IntRange(0, 15).Draw(t, "caller"),
		outcome: rapid.SampledFrom([]brrequest.OutcomeKind{
			brrequest.OutcomeAnswered, brrequest.OutcomeFault, brrequest.OutcomeShed, brrequest.OutcomeNotSent,
			brrequest.OutcomeBroken, brrequest.OutcomeCancelled,
		}).Draw(t, "outcome"),
		retries: rapid.Bool().Draw(t, "retries"),
		pause:   time.Duration(rapid.SampledFrom([]int{0, 10, 100, 3000}).Draw(t, "pause")) * time.Millisecond,
		settles: rapid.IntRange(0, 3).Draw(t, "settles") > 0,
	}
	for range len(services) * serversPerService {
		s.servers = append(s.servers, registration{
			absent:    rapid.IntRange(0, 3).Draw(t, "absent") == 0,
			draining:  rapid.IntRange(0, 5).Draw(t, "draining") == 0,
			evacuated: rapid.IntRange(0, 7).Draw(t, "evacuated") == 0,
			restarted: rapid.IntRange(0, 3).Draw(t, "restarted") == 0,
		})
	}
	return s
}

// caller is a request. Its fields are read only while its goroutine is blocked.
type caller struct {
	cancel  context.CancelFunc
	ends    chan step // how the attempt that runs ends
	running bool
	server  brfleet.Server // while it runs
}

// history is a VM with its callers.
type history struct {
	assigner *Assigner
	handler  *handler
	callers  []*caller
	starts   []int64          // start time of each server
	runs     []brfleet.Server // all runs of servers so far
}

type ignoreEvents struct{}

func (ignoreEvents) ReportCrash(brrequest.Fingerprint, string) {}
func (ignoreEvents) StateChange(string, ...any)                {}

func newHistory(ctx context.Context) (*history, *brduty.Group) {
	clock := brclock.NewSystem()
	h := newHandler(clock, brfleet.NewVM("vm-1", "", "").WithLocation("a-1", "a"), nil, ignoreEvents{}, ignoreEvents{})
	v := &history{assigner: newAssigner(clock, h), handler: h, starts: make([]int64, len(services)*serversPerService)}
	group := brduty.NewGroup(ctx, clock, brobserver.Nop{})
	group.Start(v.assigner.Duty())
	v.view(make([]registration, len(services)*serversPerService))
	synctest.Wait()
	return v, group
}

func (v *history) view(registrations []registration) {
	list, evacuated := []brfleet.Server{}, []string{}
	for i, r := range registrations {
		if r.restarted {
			v.starts[i]++
		}
		domain := fmt.Sprint("a-", i)
		server := brfleet.NewServer(fmt.Sprint("s-", i), services[i%len(services)], fmt.Sprint("10.0.0.", i, ":80")).
			WithLocation(domain, "a").WithSlots(2).WithStart(v.starts[i], 0)
		v.runs = append(v.runs, server)
		if r.evacuated {
			evacuated = append(evacuated, domain)
		}
		if !r.absent {
			list = append(list, server.WithDraining(r.draining))
		}
	}
	policy := brfleet.NewPolicy(1, brfleet.Limits{}, nil, nil, nil)
	_ = v.assigner.Views().Send(brfleet.NewView(policy, list, nil, nil, brset.New(evacuated...)))
}

func (v *history) play(ctx context.Context, s step) {
	switch s.kind {
	case stepAsk:
		ctx, cancel := context.WithCancel(ctx)
		c := &caller{cancel: cancel, ends: make(chan step)}
		id := fmt.Sprint("request-", len(v.callers))
		v.callers = append(v.callers, c)
		query := brplacement.NewQuery(id, s.service).WithObject(s.object).WithTimeLimits(time.Second, time.Now().Add(5*time.Second))
		go c.run(ctx, v.assigner, query, s.maxWait)
	case stepCancel:
		if len(v.callers) > 0 {
			v.callers[len(v.callers)-1-s.caller%len(v.callers)].cancel()
		}
	case stepEnd:
		if len(v.callers) == 0 {
			return
		}
		select {
		case v.callers[len(v.callers)-1-s.caller%len(v.callers)].ends <- s:
		default: // it doesn't run
		}
	case stepWait:
		time.Sleep(s.pause)
	case stepView:
		v.view(s.servers)
	default:
	}
}

// run asks for a server, and for another one where a step says so.
func (c *caller) run(ctx context.Context, assigner *Assigner, query brplacement.Query, maxWait time.Duration) {
	end := step{}
	attempt := func(choice brplacement.Choice) (brplacement.Outcome, VersionResult) {
		c.running, c.server = true, choice.Server()
		end = step{outcome: brrequest.OutcomeCancelled}
		select {
		case end = <-c.ends:
		case <-ctx.Done():
		}
		c.running = false
		return brplacement.NewOutcome(c.server, end.outcome, 20*time.Millisecond), VersionResult{}
	}
	assignment, err := assigner.Place(ctx, query, maxWait, attempt)
	for err == nil && assignment.Assigned() && end.retries {
		query = query.Excluding(c.server.ID())
		assignment, err = assigner.Retry(ctx, query, attempt)
	}
}

// violation compares the counts of running requests with the requests that run.
func (v *history) violation() string {
	running := map[brfleet.Server]int{}
	byService := map[string]int{}
	for _, c := range v.callers {
		if c.running {
			running[c.server.WithDraining(false)]++
			byService[c.server.Service()]++
		}
	}
	for _, server := range v.runs {
		if got := v.handler.placer.RunningAt(server); got != running[server] {
			return fmt.Sprintf("%d requests run at %s in its run %d, counted %d", running[server], server.ID(), server.StartUnixMilli(), got)
		}
	}
	counted := v.handler.placer.Running()
	maps.DeleteFunc(counted, func(_ string, count int) bool { return count == 0 })
	if !maps.Equal(byService, counted) {
		return fmt.Sprintf("requests that run by service: %v, counted %v", byService, counted)
	}
	return ""
}

// playAll plays the steps and returns the first violation, if any.
func playAll(ctx context.Context, steps []step) string {
	v, group := newHistory(ctx)
	defer group.Stop()
	defer v.cancelAll()
	for i, s := range steps {
		v.play(ctx, s)
		if !s.settles {
			continue
		}
		synctest.Wait()
		if violation := v.violation(); violation != "" {
			return fmt.Sprintf("after step %d: %s", i, violation)
		}
	}
	v.cancelAll()
	synctest.Wait()
	if violation := v.violation(); violation != "" {
		return "after all callers left: " + violation
	}
	return ""
}

func (v *history) cancelAll() {
	for _, c := range v.callers {
		c.cancel()
	}
}

// A request that leaves while it waits, or as it is assigned or retried, must not stay
// counted at a server, nor may a change of the servers lose the count of one that runs.
func TestCountsOfServersEqualRunningRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 60).Draw(rt, "steps")
		violation := ""
		synctest.Test(t, func(t *testing.T) { violation = playAll(t.Context(), steps) })
		require.Empty(rt, violation)
	})
}

// newUnreceived returns the duty's handler, with the message of a caller that stops waiting
// at the moment at which it is answered.
func newUnreceived(t *testing.T) (*handler, message) {
	clock := brclock.NewFake(time.Unix(1000, 0))
	h := newHandler(clock, brfleet.NewVM("vm-1", "", "").WithLocation("a-1", "a"), nil, ignoreEvents{}, ignoreEvents{})
	server := brfleet.NewServer("s-0", services[0], "10.0.0.1:80").WithLocation("a-1", "a").WithSlots(2)
	policy := brfleet.NewPolicy(1, brfleet.Limits{}, nil, nil, nil)
	h.Update(t.Context(), brfleet.NewView(policy, []brfleet.Server{server}, nil, nil, brset.New[string]()))
	replies := brring.NewQueue[Assignment](1)
	require.NoError(t, replies.Send(Assignment{}))
	query := brplacement.NewQuery("1", services[0]).WithTimeLimits(time.Second, clock.Now().Add(5*time.Second))
	return h, message{query: query, maxWait: time.Second, reply: brring.NewReply(replies)}
}

// A caller stops waiting at the moment at which it is assigned a server. The slot must be
// taken back, since no attempt will release it.
func TestSlotIsTakenBackIfAssignmentIsNotReceived(t *testing.T) {
	for name, kind := range map[string]kind{"place": kindPlace, "retry": kindRetry} {
		t.Run(name, func(t *testing.T) {
			h, m := newUnreceived(t)
			m.kind = kind
			h.Handle(t.Context(), m)
			require.Equal(t, map[string]int{services[0]: 0}, h.placer.Running())
		})
	}
	t.Run("wait", func(t *testing.T) {
		h, m := newUnreceived(t)
		require.True(t, h.queue.Add(m.query, h.clock.Now().Add(time.Second), m.reply))
		h.Tick(t.Context(), h.clock.Now())
		require.Zero(t, h.queue.Len())
		require.Equal(t, map[string]int{services[0]: 0}, h.placer.Running())
	})
}

// Retries find no server, or their callers leave before they are sent. They must not use up
// the retry budget, which would refuse the retries of others.
func TestRetriesThatAreNotSentAreNotCharged(t *testing.T) {
	const rounds = 20 // more than the budget allows
	requireFullBudget := func(t *testing.T, h *handler) {
		for range 3 {
			require.True(t, h.retryBudget.Spend(services[0]))
		}
		require.False(t, h.retryBudget.Spend(services[0]))
	}
	t.Run("no server", func(t *testing.T) {
		h, m := newUnreceived(t)
		m.kind, m.query = kindRetry, m.query.Excluding("s-0")
		for range rounds {
			h.Handle(t.Context(), m)
		}
		requireFullBudget(t, h)
	})
	t.Run("answer not received", func(t *testing.T) {
		h, m := newUnreceived(t)
		m.kind = kindRetry
		for range rounds {
			h.Handle(t.Context(), m)
		}
		requireFullBudget(t, h)
	})
	t.Run("context ended as a server was assigned", func(t *testing.T) {
		h, m := newUnreceived(t)
		a := newAssigner(h.clock, h)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range rounds {
			require.True(t, h.retryBudget.Spend(services[0]))
			choice, ok := h.placer.Pick(h.clock.Now(), m.query)
			require.True(t, ok)
			require.ErrorIs(t, a.use(ctx, choice, true, nil), context.Canceled)
			end, ok := a.duty.Queue().TryReceive()
			require.True(t, ok)
			h.Handle(t.Context(), end)
		}
		requireFullBudget(t, h)
	})
}

// An attempt panics, as handlers do to abort a response. Its slot must be released.
func TestSlotOfAttemptThatPanicsIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v, group := newHistory(t.Context())
		defer group.Stop()
		require.Panics(t, func() {
			_, _ = v.assigner.Place(t.Context(), brplacement.NewQuery("1", services[0]), 0, func(choice brplacement.Choice) (brplacement.Outcome, VersionResult) {
				require.Equal(t, 1, v.handler.placer.RunningAt(choice.Server()))
				panic(http.ErrAbortHandler)
			})
		})
		synctest.Wait()
		require.Empty(t, v.violation())
	})
}

// blockingJournal blocks the duty when a server says that it shuts down.
type blockingJournal struct{ unblocked chan struct{} }

func (b blockingJournal) StateChange(string, ...any) { <-b.unblocked }

// As many requests as there may be end, or stop waiting, while the duty takes no messages
// and its ring is full. A release that the ring rejects would leave a slot occupied.
func TestReleasesAreDeliveredWhileRingIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := brclock.NewSystem()
		journal := blockingJournal{unblocked: make(chan struct{})}
		h := newHandler(clock, brfleet.NewVM("vm-1", "", "").WithLocation("a-1", "a"), nil, ignoreEvents{}, journal)
		assigner := newAssigner(clock, h)
		group := brduty.NewGroup(t.Context(), clock, brobserver.Nop{})
		group.Start(assigner.Duty())
		defer group.Stop()
		server := brfleet.NewServer("s-0", services[0], "10.0.0.1:80").WithLocation("a-1", "a").WithSlots(2 * maxOpen)
		policy := brfleet.NewPolicy(1, brfleet.Limits{}, nil, nil, nil)
		require.NoError(t, assigner.Views().Send(brfleet.NewView(policy, []brfleet.Server{server}, nil, nil, brset.New[string]())))
		synctest.Wait()

		ends := make(chan brfleet.ServerReport)
		ctx, cancel := context.WithCancel(t.Context())
		start := func(requests int) {
			for range requests {
				go func() {
					_, _ = assigner.Place(ctx, brplacement.NewQuery("1", services[0]), 0, func(brplacement.Choice) (brplacement.Outcome, VersionResult) {
						return brplacement.NewOutcome(server, brrequest.OutcomeAnswered, time.Millisecond).WithReport(<-ends), VersionResult{}
					})
				}()
				// The ring must not be full before the duty is blocked.
				synctest.Wait()
			}
		}
		start(maxOpen - queueCapacity)
		require.Equal(t, maxOpen-queueCapacity, h.placer.RunningAt(server))
		ends <- brfleet.ServerReport{}.WithLeaving(true)
		synctest.Wait()
		start(queueCapacity)
		_, err := assigner.Place(ctx, brplacement.NewQuery("1", services[0]), 0, nil)
		require.Error(t, err, "the ring is full")
		cancel()
		for range maxOpen - queueCapacity - 1 {
			ends <- brfleet.ServerReport{}
		}
		synctest.Wait()
		close(journal.unblocked)
		synctest.Wait()
		require.Zero(t, h.placer.RunningAt(server))
		require.Zero(t, h.open.Load())
	})
}

// gaugeValues returns the values of the gauge of running requests by service.
func gaugeValues(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	require.NoError(t, err)
	values := map[string]float64{}
	for _, f := range families {
		if f.GetName() != "bergamotroad_server_running_requests" {
			continue
		}
		for _, m := range f.GetMetric() {
			values[m.GetLabel()[0].GetValue()] = m.GetGauge().GetValue()
		}
	}
	return values
}

// The gauge shows the counts that the servers are chosen by, so that slots that are not
// released are seen, and drops services that are gone.
func TestGaugeShowsRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v, group := newHistory(t.Context())
		defer group.Stop()
		registry := prometheus.NewPedanticRegistry()
		registry.MustRegister(v.assigner.Collectors()...)
		ctx, cancel := context.WithCancel(t.Context())
		for range 2 {
			go func() {
				_, _ = v.assigner.Place(ctx, brplacement.NewQuery("1", services[0]), 0, func(choice brplacement.Choice) (brplacement.Outcome, VersionResult) {
					<-ctx.Done()
					return brplacement.NewOutcome(choice.Server(), brrequest.OutcomeCancelled, 0), VersionResult{}
				})
			}()
		}
		time.Sleep(2 * idlePeriod)
		require.Equal(t, map[string]float64{"entry": 0, "lookup": 2}, gaugeValues(t, registry))
		cancel()
		require.NoError(t, v.assigner.Views().Send(&brfleet.View{}))
		time.Sleep(2 * idlePeriod)
		require.Empty(t, gaugeValues(t, registry))
	})
}
