package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"bergamotroad.example/bergamotroad/platform/brstandin"
)

var (
	firstTrial = flag.Uint64("soak.firsttrial", 2, "first seed of the runs with a version on trial")
	trialCount = flag.Int("soak.trials", 2, "number of runs with a version on trial")
	firstLoss  = flag.Uint64("soak.firstloss", 4, "first seed of the runs with a version on trial and a loss of all VMs")
	lossCount  = flag.Int("soak.losses", 1, "number of these runs")
)

const (
	// trialStream is the PCG stream of the runs with a version on trial.
	trialStream = 1 << 44
	// lossStream is that of the runs with a loss of all VMs beside it.
	lossStream      = 1 << 45
	trialVersion    = "v2"
	trialTime       = 16 * time.Second
	exposureShare   = 0.1
	exposureSlack   = 50
	rollbackTime    = 5 * time.Second
	badAnswersKnown = 50
	// maxRestartGap is the maximum time between two restarts.
	maxRestartGap = 2 * time.Second
)

// trialKind is how the new version behaves.
type trialKind struct {
	name  string
	isBad bool
	// spoil makes one of two servers of the version bad.
	spoil func(s *brstandin.Server)
	// underLoad makes all servers of the version fail with more requests at a time than a
	// small share of all brings.
	underLoad bool
}

// underLoadKind is a version that is bad only under load.
var underLoadKind = trialKind{name: "fails under load", isBad: true, spoil: func(*brstandin.Server) {}, underLoad: true}

const (
	// loadedServiceTime is the service time of a version that fails under load, and
	// loadedRequests the number of requests at a time above which it does. The largest share
	// that a version gets on trial brings more, also where callers are slow.
	loadedServiceTime = 600 * time.Millisecond
	loadedRequests    = 2
)

var trialKinds = []trialKind{
	{name: "answers after the timeout", isBad: true, spoil: func(s *brstandin.Server) { s.SetServiceTime(time.Minute) }},
	{name: "fails", isBad: true, spoil: func(s *brstandin.Server) { s.SetFault(brstandin.FaultInternalError) }},
	{name: "is good", spoil: func(*brstandin.Server) {}},
}

// Guards against VMs that, restarted in turn, forget a request that crashes servers or the
// answers of a version on trial, and against a version that answers after the timeout and
// succeeds (EXPOSURE and BUDGET, review cases 7 to 9).
func TestLearnedStateSurvivesRestarts(t *testing.T) {
	for i := range *trialCount {
		seed := *firstTrial + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runTrial(t, seed) })
	}
}

func runTrial(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, trialStream))
	kind := trialKinds[seed%uint64(len(trialKinds))]
	poison := random.IntN(1 << 10)
	runTrialOf(t, seed, kind, random, func(d *deployment) { repeatPoison(d, poison, time.Now()) }, func(d *deployment) {
		d.restartInTurn(random)
		repeatPoison(d, poison, time.Now())
	})
}

// Guards against a version on trial that succeeds without evidence after all VMs were lost at
// once (EXPOSURE, review case 12).
func TestTrialSurvivesLossOfAllVMs(t *testing.T) {
	for i := range *lossCount {
		seed := *firstLoss + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, lossStream))
			kinds := append([]trialKind{underLoadKind}, trialKinds...)
			kind := kinds[seed%uint64(len(kinds))]
			runTrialOf(t, seed, kind, random, func(*deployment) {}, func(d *deployment) { d.loseAll(random) })
		})
	}
}

// loseAll kills all VMs at once, once or twice, and starts them again one after the other.
func (d *deployment) loseAll(random *rand.Rand) {
	for range 1 + random.IntN(2) {
		time.Sleep(time.Duration(random.Int64N(int64(trialTime / 2))))
		d.logStep("all VMs are killed")
		d.disturbances.add(everything, time.Now(), time.Now().Add(2*time.Second))
		for _, v := range d.allVMs() {
			v.terminate(syscall.SIGKILL)
		}
		for _, v := range d.allVMs() {
			time.Sleep(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
			v.start()
		}
	}
}

// runTrialOf runs a version on trial while something disturbs the VMs, and checks what became
// of it. prepare runs before the version is ordered.
func runTrialOf(t *testing.T, seed uint64, kind trialKind, random *rand.Rand, prepare, disturb func(d *deployment)) {
	t.Helper()
	d := newDeployment(t, *vmCount)
	d.setTargetLatency()
	ctx, cancel := context.WithCancel(context.Background())
	callers := d.begin(ctx, t, random, seed)
	prepare(d)
	ordered := d.orderTrial(kind)
	disturb(d)
	time.Sleep(time.Until(ordered.Add(trialTime)))
	succeeded, ended := brstandin.RolloutResult(d.store, serviceLook, trialVersion)
	cancel()
	callers.wait.Wait()
	target, all := d.checker.checkExposure(ordered, kind.isBad)
	t.Logf("seed %d: the version %s: succeeded %v, ended %v, %d of %d requests", seed, kind.name, succeeded, ended, target, all)
	if ended && succeeded == kind.isBad {
		d.checker.reportViolation(fmt.Sprintf("EXPOSURE: the version %s and its rollout ended with success %v", kind.name, succeeded))
	}
	d.writeSteps()
	d.report(t, seed, nil)
}

// setTargetLatency sets target latencies above a quarter of the timeouts, so that late answers
// are not already known as such before the timeout.
func (d *deployment) setTargetLatency() {
	routes := []brstandin.Route{}
	for _, r := range d.routes {
		routes = append(routes, r.WithTargetLatency(r.Timeout()/2))
	}
	d.routes = routes
	d.configure()
}

// orderTrial starts servers of the new version and orders its rollout. It returns the time of
// the order.
func (d *deployment) orderTrial(kind trialKind) time.Time {
	overload := brstandin.NewOverload(loadedRequests)
	for _, domain := range domains {
		servers := []*brstandin.Server{d.addServer(serviceLook, trialVersion, domain), d.addServer(serviceLook, trialVersion, domain)}
		kind.spoil(servers[1])
		for _, s := range servers {
			if kind.underLoad {
				s.FailUnder(overload)
				s.SetServiceTime(loadedServiceTime)
			}
		}
	}
	d.logStep("rollout of a version that %s", kind.name)
	ordered := time.Now()
	brstandin.StartRollout(d.store, serviceLook, trialVersion, trialTime)
	return ordered
}

// restartInTurn restarts all VMs; some stop while the ones before are still down.
func (d *deployment) restartInTurn(random *rand.Rand) {
	group := sync.WaitGroup{}
	for i := range d.allVMs() {
		time.Sleep(time.Duration(random.Int64N(int64(maxRestartGap))))
		d.logStep("restart of a VM (%d)", i)
		restart := restartVM
		if random.IntN(4) == 0 {
			restart = killVM
		}
		group.Go(func() { restart(d, i, time.Now())() })
	}
	group.Wait()
}

// checkExposure checks the requests that a bad version gets from undisturbed VMs, and returns
// the numbers of requests at the version and at the service within the time of its rollout.
func (c *checker) checkExposure(ordered time.Time, isBad bool) (target, all int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	badAnswers := []time.Time{}
	late := func(time.Time) bool { return false }
	for _, r := range c.order {
		for _, a := range r.arrivals {
			if a.Server().Version() == trialVersion && r.response.Status() >= 500 {
				badAnswers = append(badAnswers, r.ended)
			}
		}
	}
	slices.SortFunc(badAnswers, time.Time.Compare)
	if len(badAnswers) >= badAnswersKnown {
		bound := badAnswers[badAnswersKnown-1].Add(rollbackTime)
		late = func(sent time.Time) bool { return sent.After(bound) }
	}
	for _, r := range c.order {
		for _, a := range r.arrivals {
			within := a.ReceivedAt().After(ordered) && a.ReceivedAt().Before(ordered.Add(trialTime))
			if a.Server().Service() == serviceLook && within {
				all++
			}
			if a.Server().Version() != trialVersion || !c.disturbances.vmAndStoreUndisturbed(r.vm, r.sent, a.ReceivedAt()) {
				continue
			}
			if within {
				target++
			}
			if isBad && late(r.sent) {
				c.addViolation("EXPOSURE: %s reaches the bad version more than %v after its answer %d", a.ID(), rollbackTime, badAnswersKnown)
			}
		}
	}
	if allowed := exposureShare*float64(all) + exposureSlack; isBad && float64(target) > allowed {
		c.addViolation("EXPOSURE: the bad version got %d of %d requests, %.0f may", target, all, allowed)
	}
	return target, all
}
