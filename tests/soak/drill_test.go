package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bergamotroad.example/bergamotroad/platform/brstandin"
)

var (
	firstDrill = flag.Uint64("soak.firstdrill", 1, "first seed of the runs with drills of the store")
	drillCount = flag.Int("soak.drills", 1, "number of runs with drills of the store")
)

const (
	// drillStream is the PCG stream of the runs with drills.
	drillStream = 1 << 46
	// copyInterval is the time between two copies of the store.
	copyInterval = 200 * time.Millisecond
	// maxCopyAge and maxAway bound the age of the copy from which the store returns and the
	// time for which it is away.
	maxCopyAge = 7 * time.Second
	maxAway    = 1500 * time.Millisecond
	// maxRewriteTime bounds the time after which operators and servers have written again what
	// the store lost.
	maxRewriteTime = 1500 * time.Millisecond
	// manyChanges is the number of changes of the configuration that a store loses at last.
	manyChanges = 30
	// drillFaultRate is the number of other faults per second.
	drillFaultRate = 2
)

// drillFaults are the names of the faults that are drawn beside drills: changes that the store
// loses, restarts, and links that fail.
var drillFaults = []string{
	"kill a VM", "stop and start a VM", "stall connections of a VM to the store", "refuse connections of a VM to the store",
	"stall peer connections to a VM", "refuse peer connections to a VM", "server drains", "server unregisters without draining",
	"server is added", "route moves to another service", "key is revoked", "several configurations are written",
	"failure domain is evacuated", "new version is rolled out", "server crashes and comes back",
}

// Guards against a store that returns from an older copy, and whose later changes are missed or
// whose lost ones are taken for done (CONFIG, DRAIN and EVAC, review case 11), and against servers
// that work on for clients that have sent ahead and left (GONE, review case 15).
func TestPromisesHoldInDrills(t *testing.T) {
	for i := range *drillCount {
		seed := *firstDrill + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runDrills(t, seed) })
	}
}

func runDrills(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, drillStream))
	d := newDeployment(t, *vmCount)

	ctx, cancel := context.WithCancel(context.Background())
	callers := d.begin(ctx, t, random, seed)
	for i := range len(domains) {
		c := newLeaver(d, seed, i)
		callers.wait.Go(func() { c.run(ctx) })
	}
	callers.wait.Go(func() { d.keepCopies(ctx) })
	kinds := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !slices.Contains(drillFaults, f.name) })
	steps := drawSteps(random, kinds, *faultDuration, int(faultDuration.Seconds()*drillFaultRate))
	for range 1 + random.IntN(2) {
		steps = append(steps, step{at: time.Duration(random.Int64N(int64(*faultDuration))), length: time.Duration(random.Int64N(int64(maxAway))), pick: random.IntN(1 << 20), fault: fault{name: "store returns from an older copy", begin: drillStore}})
	}
	d.runSteps(steps)
	d.endFaults()
	d.drillAfterManyChanges(random)
	d.checkRecovery(t, callers)
	cancel()
	callers.wait.Wait()
	d.checker.checkQuotas(initialOrganisations())
	d.checker.checkBudget()
	d.checker.checkLeft()
	d.writeSteps()
	d.report(t, seed, nil)
}

// drillAfterManyChanges lets the store lose many changes, so that its versions stay below those
// that VMs know, and then changes each route once more.
func (d *deployment) drillAfterManyChanges(random *rand.Rand) {
	time.Sleep(2 * copyInterval)
	for range manyChanges {
		moveRoute(d, random.IntN(1<<20), time.Now())
		time.Sleep(50 * time.Millisecond)
	}
	age := manyChanges * 50 * time.Millisecond
	drillStore(d, int(age.Milliseconds()), time.Now())()
	time.Sleep(contactTime)
	for i := range initialRoutes() {
		moveRoute(d, i, time.Now())
	}
	time.Sleep(2 * contactTime)
}

// keepCopies takes a copy of the store at each interval.
func (d *deployment) keepCopies(ctx context.Context) {
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.store.Copy()
		}
	}
}

// drillStore takes the store away, brings it back from an older copy, and writes again what it
// has lost.
func drillStore(d *deployment, pick int, until time.Time) func() {
	age := time.Duration(pick) * time.Millisecond % maxCopyAge
	rewriteTime := time.Duration(pick/7) * time.Millisecond % maxRewriteTime
	d.disturbances.add(storeName, time.Now(), until.Add(rewriteTime+copyInterval))
	d.store.SetOutage(brstandin.OutageUnavailable)
	return func() {
		rewrite, ok := d.store.Restore(age)
		d.store.SetOutage(brstandin.OutageNone)
		d.logStep("the store is back from a copy at least %v old: %v", age, ok)
		if ok {
			time.Sleep(rewriteTime)
			rewrite()
			d.logStep("written again what the store had lost")
		}
	}
}
