// Package soak runs entry VMs as processes, injects faults from outside of them, and
// checks the guarantees of the system against what callers and backend servers
// observe.
//
// # Usage
//
//	go test ./tests/soak                                   # the regression seeds and a short run
//	go test ./tests/soak -soak.first 1 -soak.count 50      # 50 seeds
//	go test ./tests/soak -soak.vms 40 -soak.length 1m      # a large run
//
// Only runs of even seeds include faults that affect the store or all VMs. Each run
// prints its seed. A failed run keeps its steps and the logs of its VMs in the folder
// that it prints.
package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	// The program under test. The import makes its packages inputs of the test, so that
	// go test returns no cached result after they change.
	_ "bergamotroad.example/bergamotroad/internal/command/brcommand"
	"bergamotroad.example/bergamotroad/platform/brstandin"
)

var (
	first    = flag.Uint64("soak.first", 1, "first seed")
	count    = flag.Int("soak.count", 4, "number of seeds")
	vms      = flag.Int("soak.vms", 6, "number of entry VMs")
	length   = flag.Duration("soak.length", 12*time.Second, "duration of the faults")
	parallel = flag.Int("soak.parallel", 2, "number of parallel runs")
	// countKnown makes known failures listed in KNOWN-RED.txt fail the test too.
	countKnown = flag.Bool("soak.knownred", false, "fail on the known failures listed in KNOWN-RED.txt too")
	density    = flag.Float64("soak.faults", 3, "faults per second")
)

// kindsStream is the PCG stream from which the kinds of faults of a seed are drawn.
const kindsStream = 1 << 40

// program is the path of the bergamotroad binary under test.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	folder, err := os.MkdirTemp("", "soak-program-*")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program = filepath.Join(folder, "bergamotroad")
	build := exec.Command("go", "build", "-race", "-o", program, "../..")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build program:", err)
		return 1
	}
	return m.Run()
}

// regressions are seeds that failed in the past, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{seed: 211, cause: "the proxy of a crashed server still accepted connections, so its death went unnoticed and a request that crashes servers was repeated"},
	{seed: 101, cause: "the check counted requests that a stalled link delayed as late at their server, which users allow"},
}

func TestPromisesHoldUnderFaults(t *testing.T) {
	slots := make(chan struct{}, *parallel)
	seeds := []uint64{}
	for i := range *count {
		seeds = append(seeds, *first+uint64(i))
	}
	for _, r := range regressions {
		seeds = append(seeds, r.seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			if *parallel > 1 {
				t.Parallel()
			}
			slots <- struct{}{}
			defer func() { <-slots }()
			soak(t, seed)
		})
	}
}

// soak runs one seed.
func soak(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	w := newWorld(t, *vms)
	stop := make(chan struct{})
	defer close(stop)
	go w.calm.watch(stop)
	w.calm.disturb(anything, w.started, time.Now().Add(2*time.Second))
	w.startAll(random)
	ctx, cancel := context.WithCancel(context.Background())
	callers := w.startCallers(ctx, seed)
	w.awaitService(t, callers)
	kinds := kindsOf(seed)
	w.play(drawSteps(random, kinds, *length, int(length.Seconds()**density)))
	w.heal()
	w.checkRecovery(t, callers)
	cancel()
	callers.wait.Wait()
	w.ledger.checkQuotas(firstOrganisations())
	w.ledger.checkBudget()
	w.tell()
	w.report(t, seed, kinds)
}

// kindsOf returns the kinds of faults of a seed.
func kindsOf(seed uint64) []fault {
	return drawKinds(rand.New(rand.NewPCG(seed, kindsStream)), seed%2 == 0)
}

// crowd is the group of running callers with the number of their served requests.
type crowd struct {
	wait   sync.WaitGroup
	served atomic.Int64
}

func (w *world) startCallers(ctx context.Context, seed uint64) *crowd {
	all := &crowd{}
	for i := range callersEach * len(domains) {
		c := newCallerOf(w, seed, i, &all.served)
		all.wait.Go(func() { c.run(ctx) })
	}
	return all
}

// awaitService waits until 20 more requests are served.
func (w *world) awaitService(t *testing.T, callers *crowd) {
	t.Helper()
	before := callers.served.Load()
	require.Eventually(t, func() bool { return callers.served.Load() >= before+20 }, 4*recoveryTime, pulse, "fewer than 20 requests were served in time")
}

// play injects the faults of the steps at their times.
func (w *world) play(steps []step) {
	begun := time.Now()
	wait := sync.WaitGroup{}
	for _, s := range steps {
		wait.Go(func() {
			time.Sleep(s.at - time.Since(begun))
			w.note("%s for %v (%d)", s.fault.name, s.length, s.pick)
			end := s.fault.begin(w, s.pick, time.Now().Add(s.length))
			if end == nil {
				return
			}
			time.Sleep(s.length)
			end()
			w.note("%s ends (%d)", s.fault.name, s.pick)
		})
	}
	wait.Wait()
}

// heal ends all faults. Overlapping faults can leave some in place: the end of one
// does not restore what another set.
func (w *world) heal() {
	w.store.SetOutage(brstandin.OutageNone)
	w.store.SetDelay(0)
	for _, m := range w.all() {
		for _, p := range []*proxy{m.toStore, m.toPeer, m.toFront} {
			p.set(link{})
		}
		m.start()
	}
	w.note("all faults ended")
}

// checkRecovery checks that at least a quarter of the requests are served once the
// fleet had time to recover.
func (w *world) checkRecovery(t *testing.T, callers *crowd) {
	t.Helper()
	w.awaitService(t, callers)
	time.Sleep(contactTime)
	from := time.Now()
	time.Sleep(contactTime)
	served, owed := w.ledger.servedSince(from)
	w.note("%d of %d requests served after recovery", served, owed)
	if served*4 < owed {
		w.ledger.report(fmt.Sprintf("RECOVER: %d of %d requests are served", served, owed))
	}
}

// report logs the run and fails the test if a guarantee was violated.
func (w *world) report(t *testing.T, seed uint64, kinds []fault) {
	t.Helper()
	w.ledger.mutex.Lock()
	defer w.ledger.mutex.Unlock()
	t.Logf("seed %d: %d requests, %s, harness stalled %d times", seed, len(w.ledger.order), w.ledger.summary(), w.calm.heldUps)
	for _, kind := range kinds {
		t.Logf("seed %d includes: %s", seed, kind.name)
	}
	for _, text := range w.ledger.known {
		t.Logf("seed %d, known failure: %s", seed, text)
	}
	if len(w.ledger.broken) == 0 {
		_ = os.RemoveAll(w.folder)
		return
	}
	for i, text := range w.ledger.broken {
		if i == 20 {
			break
		}
		t.Error(text)
	}
	t.Errorf("seed %d: %d guarantees violated; logs are in %s", seed, len(w.ledger.broken), w.folder)
}
