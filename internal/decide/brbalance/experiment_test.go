package brbalance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/decide/brbalance"
	"bergamotroad.example/bergamotroad/internal/decide/brretry"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/standin/brschedule"
)

// In the experiment, three VMs send requests to twelve servers of three slots each.
// One server is slow, one is down, and one answers immediately with a fault.
const (
	experimentVMs     = 3
	experimentServers = 12
	experimentSlots   = 3
	serviceTime       = 20 * time.Millisecond
	slowFactor        = 10
	experimentTime    = 60 * time.Second
	warmUp            = 5 * time.Second
	queueTimeout      = 50 * time.Millisecond
)

var experimentStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// balancer is a Balancer of any policy, or the baseline that they are compared with.
type balancer interface {
	Pick(now time.Time, placement brrequest.Placement) broption.Option[brconfig.Server]
	Release(now time.Time, outcome brrequest.Outcome)
}

// plainRoundRobin is the baseline, which ignores the outcomes of requests.
type plainRoundRobin struct {
	servers  []brconfig.Server
	rotation int
}

func (p *plainRoundRobin) Pick(_ time.Time, placement brrequest.Placement) broption.Option[brconfig.Server] {
	for range p.servers {
		p.rotation++
		server := p.servers[p.rotation%len(p.servers)]
		if !placement.Excludes(server.Name()) {
			return broption.Some(server)
		}
	}
	return broption.None[brconfig.Server]()
}

func (*plainRoundRobin) Release(time.Time, brrequest.Outcome) {}

// backend is a simulated server.
type backend struct {
	running int
	dead    bool
	faulty  bool
	factor  time.Duration
}

// experiment sends random requests through the balancers and counts the results.
type experiment struct {
	random    *rand.Rand
	now       time.Time
	schedule  brschedule.Schedule
	balancers []balancer
	budgets   []*brretry.Budget
	queues    [][]queuedRequest
	maxWait   time.Duration
	backends  map[string]*backend

	latencies []time.Duration
	offered   int
	good      int // answered without a fault
	failed    int
	refused   int
	sent      int
}

// queuedRequest is a request that found no free slot. The queue of the experiment is a
// simple model of the system's queue.
type queuedRequest struct {
	arrived   time.Time
	attempt   int
	placement brrequest.Placement
}

func serversOf(t testing.TB, count int) (*brconfig.Snapshot, []brconfig.Server) {
	t.Helper()
	servers := []brconfig.Server{}
	changes := []brconfig.Change{
		brconfig.Put(brconfig.NewRegion(brconfig.NewMeta("este"))),
		brconfig.Put(brconfig.NewDomain(brconfig.NewMeta("este-a"), "este")),
		brconfig.Put(brconfig.NewSite(brconfig.NewMeta("este-a"), "este-a")),
		brconfig.Put(brconfig.NewService(brconfig.NewMeta("lookup"))),
	}
	for i := range experimentVMs {
		changes = append(changes, brconfig.Put(brconfig.NewVM(brconfig.NewMeta(fmt.Sprint("vm-", i)), "este-a", "", "")))
	}
	for i := range count {
		s := brconfig.NewServer(brconfig.NewMeta(fmt.Sprintf("s%02d", i)), "lookup", "este-a", "", experimentSlots)
		servers = append(servers, s)
		changes = append(changes, brconfig.Put(s))
	}
	snapshot, err := brconfig.NewSnapshot().Apply(1, changes)
	require.NoError(t, err)
	return snapshot, servers
}

func balancerOf[P brbalance.Policy](snapshot *brconfig.Snapshot, seed uint64) balancer {
	b := brbalance.NewBalancer[P](fmt.Sprint("vm-", seed%experimentVMs), "este-a", seed)
	b.Update(experimentStart, snapshot)
	return b
}

func newExperiment(t testing.TB, seed uint64, build func(seed uint64, snapshot *brconfig.Snapshot, servers []brconfig.Server) balancer, impair func(map[string]*backend)) *experiment {
	e := &experiment{random: rand.New(rand.NewPCG(seed, 1)), now: experimentStart, backends: map[string]*backend{}}
	snapshot, servers := serversOf(t, experimentServers)
	for _, s := range servers {
		e.backends[s.Name()] = &backend{factor: 1}
	}
	impair(e.backends)
	for i := range experimentVMs {
		e.balancers = append(e.balancers, build(seed+uint64(i), snapshot, servers))
		e.budgets = append(e.budgets, brretry.NewBudget())
		e.queues = append(e.queues, nil)
	}
	return e
}

// run sends requests at a rate for the duration of the experiment.
func (e *experiment) run(perSecond float64) {
	end := experimentStart.Add(experimentTime)
	var arrive func()
	arrive = func() {
		e.arrive()
		next := e.now.Add(time.Duration(e.random.ExpFloat64() / perSecond * float64(time.Second)))
		if next.Before(end) {
			e.schedule.Add(next, arrive)
		}
	}
	e.schedule.Add(e.now, arrive)
	for at, ok := e.schedule.Next(); ok; at, ok = e.schedule.Next() {
		e.now = at
		e.schedule.Run()
	}
}

func (e *experiment) isWarm() bool { return e.now.After(experimentStart.Add(warmUp)) }

func (e *experiment) arrive() {
	if e.isWarm() {
		e.offered++
	}
	vm := e.random.IntN(experimentVMs)
	e.budgets[vm].Earn("r")
	e.place(vm, e.now, 1, brrequest.NewPlacement("lookup", ""))
}

func (e *experiment) place(vm int, arrived time.Time, attempt int, placement brrequest.Placement) {
	server, ok := e.balancers[vm].Pick(e.now, placement).Get()
	if !ok && e.now.Sub(arrived) < e.maxWait {
		e.queues[vm] = append(e.queues[vm], queuedRequest{arrived: arrived, attempt: attempt, placement: placement})
		return
	}
	if !ok {
		e.refuse()
		return
	}
	e.send(vm, server, arrived, attempt, placement)
}

// dispatchQueued gives free slots to waiting requests, oldest first.
func (e *experiment) dispatchQueued(vm int) {
	for len(e.queues[vm]) > 0 {
		queued := e.queues[vm][0]
		if e.now.Sub(queued.arrived) >= e.maxWait {
			e.queues[vm] = e.queues[vm][1:]
			e.refuse()
			continue
		}
		server, ok := e.balancers[vm].Pick(e.now, queued.placement).Get()
		if !ok {
			return
		}
		e.queues[vm] = e.queues[vm][1:]
		e.send(vm, server, queued.arrived, queued.attempt, queued.placement)
	}
}

func (e *experiment) send(vm int, server brconfig.Server, arrived time.Time, attempt int, placement brrequest.Placement) {
	if e.isWarm() {
		e.sent++
	}
	b := e.backends[server.Name()]
	latency, kind := e.outcome(b)
	e.schedule.Add(e.now.Add(latency), func() {
		if kind == brrequest.OutcomeAnswered {
			b.running--
		}
		e.balancers[vm].Release(e.now, brrequest.NewOutcome(server.Name(), kind, latency))
		e.finish(vm, arrived, attempt, placement.Excluding(server.Name()), kind)
		e.dispatchQueued(vm)
	})
}

func (e *experiment) outcome(b *backend) (time.Duration, brrequest.OutcomeKind) {
	switch {
	case b.dead:
		return 500 * time.Microsecond, brrequest.OutcomeNotSent
	case b.faulty:
		return time.Millisecond, brrequest.OutcomeFault
	case b.running >= experimentSlots:
		return 500 * time.Microsecond, brrequest.OutcomeShed
	default:
		b.running++
		return b.factor * time.Duration((0.5+e.random.Float64())*float64(serviceTime)), brrequest.OutcomeAnswered
	}
}

func (e *experiment) finish(vm int, arrived time.Time, attempt int, placement brrequest.Placement, kind brrequest.OutcomeKind) {
	switch kind {
	case brrequest.OutcomeAnswered:
		if e.isWarm() {
			e.good++
			e.latencies = append(e.latencies, e.now.Sub(arrived))
		}
	case brrequest.OutcomeFault:
		if e.isWarm() {
			e.failed++
		}
	default:
		if attempt < brretry.MaxAttempts && e.budgets[vm].Spend("r") {
			e.place(vm, arrived, attempt+1, placement)
			return
		}
		e.refuse()
	}
}

func (e *experiment) refuse() {
	if e.isWarm() {
		e.refused++
	}
}

func (e *experiment) quantile(q float64) time.Duration {
	slices.Sort(e.latencies)
	if len(e.latencies) == 0 {
		return 0
	}
	return e.latencies[int(q*float64(len(e.latencies)-1))]
}

// capacity is the throughput of the working servers, in requests per second.
const capacity = float64(experimentSlots) * (experimentServers - 3 + 1.0/slowFactor) / 0.02

func slowDeadAndFaulty(backends map[string]*backend) {
	backends["s00"].factor = slowFactor
	backends["s01"].dead = true
	backends["s02"].faulty = true
}

var variants = []struct {
	name  string
	build func(seed uint64, snapshot *brconfig.Snapshot, servers []brconfig.Server) balancer
}{
	{"plain round robin", func(_ uint64, _ *brconfig.Snapshot, servers []brconfig.Server) balancer {
		return &plainRoundRobin{servers: servers}
	}},
	{"round robin, ejecting", func(seed uint64, s *brconfig.Snapshot, _ []brconfig.Server) balancer {
		return balancerOf[brbalance.RoundRobin](s, seed)
	}},
	{"least loaded", func(seed uint64, s *brconfig.Snapshot, _ []brconfig.Server) balancer {
		return balancerOf[brbalance.LeastLoaded](s, seed)
	}},
	{"two choices", func(seed uint64, s *brconfig.Snapshot, _ []brconfig.Server) balancer {
		return balancerOf[brbalance.TwoChoices](s, seed)
	}},
}

// Logs the table of docs/measurements/requests.md. The time is simulated and the
// seed is fixed, so that the results do not depend on the machine.
func TestExperimentSlowDeadAndFaultyServers(t *testing.T) {
	for _, load := range []float64{0.5, 0.9, 1.5} {
		for _, v := range variants {
			e := newExperiment(t, 1, v.build, slowDeadAndFaulty)
			e.maxWait = queueTimeout
			e.run(load * capacity)
			goodput := float64(e.good) / (experimentTime - warmUp).Seconds() / capacity
			t.Logf("| %3.0f%% | %s | %s | %s | %.1f%% | %.2f%% | %.1f%% | %.1f%% |", 100*load, v.name,
				e.quantile(0.5).Round(100*time.Microsecond), e.quantile(0.99).Round(100*time.Microsecond), 100*goodput,
				100*float64(e.failed)/float64(e.offered), 100*float64(e.refused)/float64(e.offered), 100*float64(e.sent)/float64(e.offered)-100)
			if v.name == "two choices" && load > 1 {
				require.Greater(t, goodput, 0.95)
			}
		}
	}
}

// If all servers of a service fail, retries add less than a tenth to its load.
func TestExperimentWholeServiceFails(t *testing.T) {
	for name, impair := range map[string]func(*backend){
		"all dead":     func(b *backend) { b.dead = true },
		"all shedding": func(b *backend) { b.running = experimentSlots },
	} {
		e := newExperiment(t, 1, variants[3].build, func(backends map[string]*backend) {
			for _, b := range backends {
				impair(b)
			}
		})
		e.run(0.5 * capacity)
		t.Logf("%s: %d requests, %d sent", name, e.offered, e.sent)
		require.Less(t, float64(e.sent), 1.1*float64(e.offered))
	}
}
