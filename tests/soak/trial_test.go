package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"bergamotroad.example/bergamotroad/platform/brstandin"
)

var (
	firstTrial = flag.Uint64("soak.firsttrial", 2, "first seed of the runs with a version on trial")
	trialCount = flag.Int("soak.trials", 2, "number of runs with a version on trial")
)

const (
	// trialStream is the PCG stream of the runs with a version on trial.
	trialStream     = 1 << 44
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
}

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
	d := newDeployment(t, *vmCount)
	d.setTargetLatency()
	stop := make(chan struct{})
	defer close(stop)
	go d.disturbances.watchForStalls(stop)
	d.disturbances.add(everything, d.started, time.Now().Add(2*time.Second))
	d.startAll(random)
	ctx, cancel := context.WithCancel(context.Background())
	callers := d.startCallers(ctx, seed)
	d.awaitService(t, callers)
	poison := random.IntN(1 << 10)
	repeatPoison(d, poison, time.Now())
	ordered := d.orderTrial(kind)
	d.restartInTurn(random)
	repeatPoison(d, poison, time.Now())
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
	for _, domain := range domains {
		d.addServer(serviceLook, trialVersion, domain)
		kind.spoil(d.addServer(serviceLook, trialVersion, domain))
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
