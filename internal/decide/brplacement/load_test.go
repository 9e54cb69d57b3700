package brplacement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/standin/brschedule"
)

// Parameters of the simulated servers. Each has slots, a queue and a cache. Requests
// for cached objects take a fraction of the time of other requests.
const (
	loadSlots        = 8
	loadQueue        = 24
	loadCacheSize    = 68
	hitTime          = 150 * time.Millisecond
	missTime         = 480 * time.Millisecond
	loadObjective    = 300 * time.Millisecond
	loadDeadline     = 2500 * time.Millisecond
	loadNetworkDelay = 10 * time.Millisecond // one way
	loadQueueTime    = loadObjective / 8
)

// loadFleet simulates VMs that send to caching servers, in virtual time.
type loadFleet struct {
	now      time.Time
	random   *rand.Rand
	vms      []*brplacement.Placer
	servers  map[string]*loadServer
	schedule brschedule.Schedule
	inTime   int
	late     int
	retried  int // answered after a retry that followed a refusal, so always late
	refused  int
	misses   int
	onPlaced func(vm *brplacement.Placer, choice brplacement.Choice) // may be nil
}

type loadServer struct {
	running int
	waiting []func()
	cached  map[string]time.Time
}

func newLoadFleet(seed uint64, vms int, list []brfleet.Server) *loadFleet {
	f := &loadFleet{now: start, random: rand.New(rand.NewPCG(seed, 9)), servers: map[string]*loadServer{}}
	for i, s := range list {
		list[i] = s.WithSlots(loadSlots)
		f.servers[s.ID()] = &loadServer{cached: map[string]time.Time{}}
	}
	v := view(list, nil, nil)
	for i := range vms {
		f.vms = append(f.vms, newPlacer(fmt.Sprint("vm-", i), domains[i%len(domains)].region, v))
	}
	return f
}

func (f *loadFleet) after(delay time.Duration, run func()) {
	f.schedule.Add(f.now.Add(delay), run)
}

// run sends requests at the given rate per second for the given time. object returns
// a random object for each of them.
func (f *loadFleet) run(duration time.Duration, rate float64, object func() string) {
	end := f.now.Add(duration)
	var next func()
	next = func() {
		if !f.now.Before(end) {
			return
		}
		f.request(object())
		f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	f.after(0, next)
	for at, ok := f.schedule.Next(); ok && at.Before(end); at, ok = f.schedule.Next() {
		f.now = at
		f.schedule.Run()
	}
}

func (f *loadFleet) request(object string) {
	vm := f.vms[f.random.IntN(len(f.vms))]
	f.place(vm, object, f.now, f.now.Add(loadQueueTime))
}

// place sends a request to the picked server. If no server has capacity, it tries
// again until the given time, and then once more after a pause, as a refused caller
// does.
func (f *loadFleet) place(vm *brplacement.Placer, object string, sent, until time.Time) {
	query := brplacement.NewQuery(object, "lookup").WithObject(object).WithTimeLimits(loadObjective, sent.Add(loadDeadline))
	choice, ok := vm.Pick(f.now, query)
	switch {
	case ok:
		if f.onPlaced != nil {
			f.onPlaced(vm, choice)
		}
		id := choice.Server().ID()
		f.after(loadNetworkDelay, func() { f.arrive(vm, id, object, sent) })
	case f.now.Before(until):
		f.after(15*time.Millisecond, func() { f.place(vm, object, sent, until) })
	case f.now.Sub(sent) < loadObjective:
		backoff := loadObjective + time.Duration(f.random.Int64N(int64(loadObjective)))
		f.after(backoff, func() { f.place(vm, object, sent, f.now.Add(loadQueueTime)) })
	default:
		f.refused++
	}
}

func (f *loadFleet) arrive(vm *brplacement.Placer, id, object string, sent time.Time) {
	s := f.servers[id]
	if s.running >= loadSlots && len(s.waiting) >= loadQueue {
		f.recordOutcome(vm, id, brrequest.OutcomeShed, 0)
		f.refused++
		return
	}
	began := f.now
	run := func() {
		s.running++
		f.after(s.work(f.now, object, &f.misses), func() { f.finish(vm, id, sent, began) })
	}
	if s.running < loadSlots {
		run()
		return
	}
	s.waiting = append(s.waiting, run)
}

// work returns how long a server takes for an object, and caches the object. A full
// cache evicts the least recently used object.
func (s *loadServer) work(now time.Time, object string, misses *int) time.Duration {
	_, cached := s.cached[object]
	s.cached[object] = now
	if cached {
		return hitTime
	}
	*misses++
	if len(s.cached) > loadCacheSize {
		oldest, at := "", now.Add(time.Hour)
		for o, t := range s.cached {
			if t.Before(at) || t.Equal(at) && o < oldest {
				oldest, at = o, t
			}
		}
		delete(s.cached, oldest)
	}
	return missTime
}

func (f *loadFleet) finish(vm *brplacement.Placer, id string, sent, began time.Time) {
	s := f.servers[id]
	s.running--
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		next()
	}
	latency := f.now.Sub(began)
	f.after(loadNetworkDelay, func() {
		f.recordOutcome(vm, id, brrequest.OutcomeAnswered, latency)
		switch latencySinceSent := f.now.Sub(sent); {
		case latencySinceSent <= loadObjective:
			f.inTime++
		case began.Sub(sent) > loadObjective:
			f.retried++
		default:
			f.late++
		}
	})
}

func (f *loadFleet) recordOutcome(vm *brplacement.Placer, id string, kind brrequest.OutcomeKind, latency time.Duration) {
	s := f.servers[id]
	load := broption.Some(brfleet.NewLoad(s.running, len(s.waiting)))
	vm.RecordOutcome(f.now, brplacement.NewOutcome(brfleet.NewServer(id, "lookup", ""), kind, latency).WithReport(brfleet.ServerReport{}.WithLoad(load)))
}

// popular returns one of count objects at random, with a skewed distribution in
// which the first is the most frequent.
func (f *loadFleet) popular(count int) string {
	rank := math.Pow(float64(count), f.random.Float64())
	return fmt.Sprint("object-", int(rank))
}

// inTimeFraction returns the fraction of all requests that were answered in time.
func (f *loadFleet) inTimeFraction() float64 {
	return float64(f.inTime) / float64(max(f.inTime+f.late+f.retried+f.refused, 1))
}

func (f *loadFleet) String() string {
	return fmt.Sprintf("%d in time, %d late, %d answered after a retry, %d refused, %d cache misses", f.inTime, f.late, f.retried, f.refused, f.misses)
}

// The fleet starts with empty caches and gets 90 % of the load that it can carry
// with warm caches, through VMs that don't coordinate. Misses occupy servers for so
// long that the caches may never warm up; most requests must be answered in time.
func TestCachesWarmUpUnderLoad(t *testing.T) {
	for seed := range uint64(3) {
		f := runLoad(seed, 0.9)
		t.Logf("seed %d: %s", seed, f)
		require.Greater(t, f.inTimeFraction(), 0.5, "seed %d: %s", seed, f)
	}
}

// Callers send nearly twice the load that the fleet can carry. Most requests that
// are served without a retry must be in time: queues are kept short, and requests
// beyond capacity are refused.
func TestServedRequestsAreInTimeUnderOverload(t *testing.T) {
	for seed := range uint64(3) {
		f := runLoad(seed, 1.8)
		t.Logf("seed %d: %s", seed, f)
		require.Greater(t, f.inTime, f.late, "seed %d: %s", seed, f)
	}
}

// runLoad runs a fleet at a fraction of the load that it can carry with warm
// caches, and counts outcomes after a warm-up period.
func runLoad(seed uint64, loadFraction float64) *loadFleet {
	const count = 12
	f := newLoadFleet(seed, 9, servers(count))
	rate := loadFraction * count * loadSlots / hitTime.Seconds()
	f.run(10*time.Second, rate, func() string { return f.popular(200) })
	f.inTime, f.late, f.retried, f.refused, f.misses = 0, 0, 0, 0, 0
	f.run(10*time.Second, rate, func() string { return f.popular(200) })
	return f
}
