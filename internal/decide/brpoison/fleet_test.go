package brpoison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/decide/braggregation"
	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/decide/brpoison"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/standin/brschedule"
)

const (
	// step is the resolution of the simulated time.
	step = 10 * time.Millisecond
	// maxDelivery is the maximum time until a notice has reached all VMs.
	maxDelivery = 1500 * time.Millisecond
	// serviceTime is the time that a server takes to run a request.
	serviceTime = 200 * time.Millisecond
	// restartTime is the time that a server takes to restart after a crash.
	restartTime = 3 * time.Second
	// convergenceTime is the time after which each VM has to act on the crashes that
	// any VM has seen, and maxLateAttempts is how often a poison request may still
	// reach servers after it.
	convergenceTime = 3 * time.Second
	maxLateAttempts = 3
)

// fleet simulates VMs and backend servers in virtual time.
type fleet struct {
	now        time.Time
	random     *rand.Rand
	vms        []*simulatedVM
	servers    []*simulatedServer
	schedule   brschedule.Schedule
	crashTimes []time.Time // times at which the poison request crashed a server
	served     int
	refused    int // harmless requests
}

type simulatedVM struct {
	placer   *brplacement.Placer
	detector *brpoison.Detector[brpoison.ConcurrentPolicy]
	notices  *braggregation.Notices
}

type simulatedServer struct {
	id          string
	incarnation int64
	upAt        time.Time
	running     map[int]func() // called for each running request when the server crashes
	next        int
}

func newFleet(seed uint64, vms, servers int) *fleet {
	f := &fleet{now: start, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range servers {
		f.servers = append(f.servers, &simulatedServer{id: fmt.Sprintf("s-%02d", i), running: map[int]func(){}})
	}
	for i := range vms {
		f.vms = append(f.vms, &simulatedVM{
			placer:   brplacement.New(fmt.Sprint("vm-", i), "a"),
			detector: brpoison.NewDetector[brpoison.ConcurrentPolicy](),
			notices:  braggregation.NewNotices(15*time.Second, 64),
		})
	}
	f.updateServers()
	return f
}

// updateServers passes the list of servers to all VMs.
func (f *fleet) updateServers() {
	list := []brfleet.Server{}
	for _, s := range f.servers {
		list = append(list, brfleet.NewServer(s.id, "ledger", s.id+":80").WithLocation("a-1", "a").WithSlots(4).WithStart(s.incarnation, 0))
	}
	view := brfleet.NewView(brfleet.Policy{}, list, nil, nil, brset.New[string]())
	for _, vm := range f.vms {
		vm.placer.Update(f.now, view)
		f.reportCrashes(vm)
	}
}

// reportCrashes passes the crashes that a VM's placer recorded to its detector, and
// publishes them unless the request is known to be harmless.
func (f *fleet) reportCrashes(vm *simulatedVM) {
	for _, crash := range vm.placer.TakeCrashes() {
		if vm.detector.RecordCrash(f.now, crash.Request(), crash.Server()) != brpoison.Cleared {
			vm.notices.Publish(f.now, brrequest.NewPoisonNotice(crash.Request(), crash.Server()))
		}
	}
}

func (f *fleet) callAfter(delay time.Duration, run func()) {
	f.schedule.Add(f.now.Add(delay), run)
}

// advance advances the simulated time by duration and calls each at every step.
func (f *fleet) advance(duration time.Duration, each func()) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(step) {
		f.schedule.RunUntil(f.now)
		if f.now.Sub(start)%(250*time.Millisecond) == 0 {
			f.broadcast()
		}
		each()
	}
}

// broadcast delivers the notices of each VM to all VMs after a random delay.
func (f *fleet) broadcast() {
	all := []brrequest.PoisonNotice{}
	for _, vm := range f.vms {
		all = append(all, vm.notices.Published(f.now)...)
	}
	for _, vm := range f.vms {
		f.callAfter(time.Duration(f.random.Int64N(int64(maxDelivery))), func() { f.receive(vm, all) })
	}
}

// receive handles those of the published notices that are new to a VM.
func (f *fleet) receive(vm *simulatedVM, all []brrequest.PoisonNotice) {
	for _, notice := range vm.notices.Unseen(f.now, all) {
		switch {
		case notice.Clears():
			vm.detector.Clear(f.now, notice.Fingerprint(), notice.Server())
		case vm.detector.RecordCrash(f.now, notice.Fingerprint(), notice.Server()) == brpoison.Cleared:
			vm.notices.Publish(f.now, brrequest.NewPoisonClearance(notice.Fingerprint(), notice.Server()))
		}
	}
}

// send sends a request through a random VM, and retries it once on another server
// if the first server fails.
func (f *fleet) send(fingerprint brrequest.Fingerprint, object string, poison bool) {
	vm := f.vms[f.random.IntN(len(f.vms))]
	f.attempt(vm, brplacement.NewQuery(object, "ledger").WithObject(object), fingerprint, poison, 2)
}

// attempt sends a request to a server, at most attempts times.
func (f *fleet) attempt(vm *simulatedVM, query brplacement.Query, fingerprint brrequest.Fingerprint, poison bool, attempts int) {
	if vm.detector.Begin(f.now, fingerprint) == brpoison.Refused {
		if !poison {
			f.refused++
		}
		return
	}
	choice, ok := vm.placer.Pick(f.now, query)
	if !ok || attempts == 0 {
		return
	}
	s := f.server(choice.Server().ID())
	recordOutcome := func(kind brrequest.OutcomeKind) {
		vm.placer.RecordOutcome(f.now, brplacement.NewOutcome(choice.Server(), kind, serviceTime).WithRequest(fingerprint))
		f.reportCrashes(vm)
	}
	retry := func() { f.attempt(vm, query.Excluding(s.id), fingerprint, poison, attempts-1) }
	switch {
	case f.now.Before(s.upAt):
		recordOutcome(brrequest.OutcomeNotSent)
		retry()
	case poison:
		f.crashTimes = append(f.crashTimes, f.now)
		f.crash(s)
		recordOutcome(brrequest.OutcomeBroken)
		retry()
	default:
		f.serve(vm, s, fingerprint, recordOutcome, retry)
	}
}

// serve starts a harmless request on a server.
func (f *fleet) serve(vm *simulatedVM, s *simulatedServer, fingerprint brrequest.Fingerprint, recordOutcome func(brrequest.OutcomeKind), retry func()) {
	id := s.next
	s.next++
	s.running[id] = func() {
		recordOutcome(brrequest.OutcomeBroken)
		retry()
	}
	f.callAfter(serviceTime, func() {
		if _, running := s.running[id]; !running {
			return
		}
		delete(s.running, id)
		f.served++
		recordOutcome(brrequest.OutcomeAnswered)
		for _, server := range vm.detector.RecordCompletion(f.now, fingerprint) {
			vm.notices.Publish(f.now, brrequest.NewPoisonClearance(fingerprint, server))
		}
	})
}

func (f *fleet) server(id string) *simulatedServer {
	for _, s := range f.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// crash crashes a server and restarts it after restartTime.
func (f *fleet) crash(s *simulatedServer) {
	s.upAt = f.now.Add(restartTime)
	running := s.running
	s.running = map[int]func(){}
	for _, abort := range running {
		abort()
	}
	f.callAfter(restartTime, func() {
		s.incarnation++
		f.updateServers()
	})
}

// harmless returns the fingerprint and the object of a harmless request.
func harmless(i int) (brrequest.Fingerprint, string) {
	name := fmt.Sprint("/popular/", i)
	return fingerprintOf(name), name
}

// Callers repeat a request that crashes each server that runs it, through all VMs,
// while other callers request popular objects. Once all VMs can know of three
// crashes, the poison request reaches only a few more servers, and the other
// requests are served.
func TestPoisonThroughAllVMsIsRefusedAndOthersAreServed(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, 9, 24)
		tick := 0
		f.advance(20*time.Second, func() {
			tick++
			f.send(harmlessRequest(f))
			if tick%30 == 0 {
				f.send(fingerprintOf("/poison"), "/poison", true)
			}
		})
		require.GreaterOrEqual(t, len(f.crashTimes), 3, "seed %d", seed)
		late := 0
		for _, at := range f.crashTimes {
			if at.After(f.crashTimes[2].Add(convergenceTime)) {
				late++
			}
		}
		require.LessOrEqual(t, late, maxLateAttempts, "seed %d: crashes at %v", seed, f.crashTimes)
		require.Zero(t, f.refused, "seed %d", seed)
		require.Greater(t, f.served, 1700, "seed %d", seed)
	}
}

// All servers crash at the same time while they run requests for popular objects,
// several times. There are so many VMs that each has seen only few of the requests
// complete. No harmless request may stay refused for long.
func TestCrashOfAllServersLeavesNoRequestRefused(t *testing.T) {
	for seed := range uint64(3) {
		f := newFleet(seed, 60, 24)
		tick := 0
		each := func() {
			tick++
			f.send(harmlessRequest(f))
			if tick%600 == 300 {
				for _, s := range f.servers {
					f.crash(s)
				}
			}
		}
		f.advance(20*time.Second, each)
		tick = -2000 // no more crashes from here on
		f.advance(convergenceTime, each)
		f.refused = 0
		f.advance(5*time.Second, each)
		require.Zero(t, f.refused, "seed %d", seed)
	}
}

func harmlessRequest(f *fleet) (brrequest.Fingerprint, string, bool) {
	fingerprint, object := harmless(f.random.IntN(12))
	return fingerprint, object, false
}
