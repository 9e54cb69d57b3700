package soak

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"

	"bergamotroad.example/bergamotroad/platform/brstandin"
)

// fault is one kind of fault. begin injects it and returns the function that ends
// it, or nil if it ends by itself.
type fault struct {
	name  string
	begin func(w *world, pick int, until time.Time) (end func())
	wide  bool // affects the store or all VMs at once
}

// step is a fault with its start time.
type step struct {
	at     time.Duration
	length time.Duration
	pick   int // selects the target
	fault  fault
}

// kindsOfARun is the number of kinds of faults in a run. It is kept low so that some
// VMs stay undisturbed: bounds on time are only checked at these.
const kindsOfARun = 8

// drawKinds draws the kinds of faults of a run. Those that affect the store or all
// VMs are included only if wide is set.
func drawKinds(random *rand.Rand, wide bool) []fault {
	kinds := []fault{}
	for _, i := range random.Perm(len(faults)) {
		if len(kinds) < kindsOfARun && (wide || !faults[i].wide) {
			kinds = append(kinds, faults[i])
		}
	}
	return kinds
}

// drawSteps draws overlapping faults, some of them repeated in a row.
func drawSteps(random *rand.Rand, kinds []fault, length time.Duration, count int) []step {
	steps := []step{}
	for len(steps) < count {
		s := step{
			at:     time.Duration(random.Int64N(int64(length))),
			length: time.Duration(100+random.IntN(3500)) * time.Millisecond,
			pick:   random.IntN(1 << 20),
			fault:  kinds[random.IntN(len(kinds))],
		}
		steps = append(steps, s)
		for again := 0; again < 3 && random.IntN(5) == 0; again++ {
			s.at += s.length + time.Duration(random.IntN(1000))*time.Millisecond
			s.pick += random.IntN(2)
			steps = append(steps, s)
		}
	}
	return steps
}

var faults = []fault{
	{name: "kill a VM", begin: killVM},
	{name: "pause a VM", begin: pauseVM},
	{name: "stop and start a VM", begin: restartVM},
	{name: "change settings of a VM", begin: changeSettings},
	{name: "remove a VM and add one", begin: replaceVM},
	{name: "kill all VMs", begin: killAll, wide: true},
	{name: "delay a VM's connection to the store", begin: harm(toStore, link{delay: 300 * time.Millisecond})},
	{name: "stall a VM's connection to the store", begin: harm(toStore, link{silentTo: true, silentOf: true})},
	{name: "lose answers of the store to a VM", begin: harm(toStore, link{silentOf: true})},
	{name: "refuse a VM at the store", begin: harm(toStore, link{refuse: true})},
	{name: "delay peer connections to a VM", begin: harm(toPeer, link{delay: 200 * time.Millisecond})},
	{name: "stall peer connections to a VM", begin: harm(toPeer, link{silentTo: true, silentOf: true})},
	{name: "stall answers of a VM to its peers", begin: harm(toPeer, link{silentOf: true})},
	{name: "refuse other VMs at a VM", begin: harm(toPeer, link{refuse: true})},
	{name: "reset callers of a VM", begin: harm(toFront, link{})},
	{name: "delay callers of a VM", begin: harm(toFront, link{delay: 100 * time.Millisecond})},
	{name: "store is busy", begin: outage(brstandin.OutageBusy), wide: true},
	{name: "store refuses calls", begin: outage(brstandin.OutageMany), wide: true},
	{name: "store resets connections", begin: outage(brstandin.OutageReset), wide: true},
	{name: "store loses answers", begin: outage(brstandin.OutageLost), wide: true},
	{name: "store applies writes late", begin: outage(brstandin.OutageLate), wide: true},
	{name: "store does not answer", begin: outage(brstandin.OutageSilent), wide: true},
	{name: "store is slow", begin: slowStore, wide: true},
	{name: "store forgets its history", begin: forgetHistory, wide: true},
	{name: "server registrations expire in a store outage", begin: lapse, wide: true},
	{name: "server crashes and comes back", begin: atServer(crashServer)},
	{name: "server's address goes to another service", begin: atServer(reuseAddress)},
	{name: "callers repeat a request that crashes servers", begin: repeatDeadly},
	{name: "server drains", begin: atServer(drainServer)},
	{name: "server unregisters without draining", begin: atServer(unregisterServer)},
	{name: "server stops responding", begin: harmServer(link{silentTo: true, silentOf: true})},
	{name: "server loses answers", begin: harmServer(link{silentOf: true})},
	{name: "server is slow", begin: atServer(slowServer)},
	{name: "server breaks connections", begin: spoil(brstandin.FaultBreak)},
	{name: "server sends answers to other requests", begin: spoil(brstandin.FaultLie)},
	{name: "server fails", begin: spoil(brstandin.FaultGrey)},
	{name: "server truncates answers", begin: spoil(brstandin.FaultCut)},
	{name: "server refuses", begin: spoil(brstandin.FaultShed)},
	{name: "server answers twice", begin: spoil(brstandin.FaultTwice)},
	{name: "server is added", begin: addServer},
	{name: "route moves to another service", begin: moveRoute},
	{name: "key is withdrawn", begin: withdrawKey},
	{name: "configurations in a row", begin: manyConfigurations},
	{name: "failure domain is evacuated", begin: evacuate},
	{name: "good version is rolled out", begin: rollOut},
}

func killVM(w *world, pick int, until time.Time) func() {
	m := w.someMachine(pick)
	w.calm.disturb(m.site.Name(), time.Now(), until.Add(time.Second))
	m.end(syscall.SIGKILL)
	return m.start
}

func pauseVM(w *world, pick int, until time.Time) func() {
	m := w.someMachine(pick)
	w.calm.disturb(m.site.Name(), time.Now(), until.Add(time.Second))
	m.signal(syscall.SIGSTOP)
	return func() { m.signal(syscall.SIGCONT) }
}

func restartVM(w *world, pick int, until time.Time) func() {
	m := w.someMachine(pick)
	w.calm.plan(m.site.Name(), time.Now(), time.Now().Add(graceTime+time.Second))
	if m.stops() {
		w.calm.stopAgain(m.site.Name(), time.Now())
	}
	m.signal(syscall.SIGTERM)
	return func() {
		w.awaitEnd(m)
		w.calm.plan(m.site.Name(), until, time.Now().Add(time.Second))
		m.start()
	}
}

// awaitEnd waits for a process to stop, and kills it after graceTime.
func (w *world) awaitEnd(m *machine) {
	m.mutex.Lock()
	ended, runs := m.ended, m.process != nil
	m.mutex.Unlock()
	if !runs {
		return
	}
	select {
	case <-ended:
	case <-time.After(graceTime):
		w.calm.disturb(m.site.Name(), time.Now(), time.Now().Add(time.Second))
		m.end(syscall.SIGKILL)
	}
}

func changeSettings(w *world, pick int, _ time.Time) func() {
	m := w.someMachine(pick)
	w.calm.plan(m.site.Name(), time.Now(), time.Now().Add(applyTime))
	m.mutex.Lock()
	m.writeSettings()
	m.mutex.Unlock()
	m.signal(syscall.SIGHUP)
	return nil
}

func replaceVM(w *world, pick int, until time.Time) func() {
	m := w.someMachine(pick)
	left := 0
	for _, other := range w.all() {
		if !other.isGone() {
			left++
		}
	}
	if m.isGone() || left <= 3 {
		return nil
	}
	w.calm.disturb(m.site.Name(), time.Now(), until.Add(time.Hour))
	m.remove(syscall.SIGKILL)
	return func() {
		w.mutex.Lock()
		added := w.addMachine()
		w.mutex.Unlock()
		w.calm.disturb(added.site.Name(), w.started, time.Now().Add(time.Second))
		added.start()
	}
}

func killAll(w *world, _ int, until time.Time) func() {
	w.calm.disturb(anything, time.Now(), until.Add(time.Second))
	for _, m := range w.all() {
		m.signal(syscall.SIGKILL)
	}
	return func() {
		for _, m := range w.all() {
			m.end(syscall.SIGKILL)
			m.start()
		}
	}
}

func toStore(m *machine) *proxy { return m.toStore }
func toPeer(m *machine) *proxy  { return m.toPeer }
func toFront(m *machine) *proxy { return m.toFront }

// harm returns a fault that applies a link state to one of the proxies of a VM. It
// resets the open connections first if the link refuses connections or is faultless.
func harm(way func(*machine) *proxy, l link) func(*world, int, time.Time) func() {
	return func(w *world, pick int, until time.Time) func() {
		m := w.someMachine(pick)
		w.calm.disturb(m.site.Name(), time.Now(), until)
		if l == (link{}) || l.refuse {
			way(m).reset()
		}
		way(m).set(l)
		return func() { way(m).set(link{}) }
	}
}

func outage(kind brstandin.Outage) func(*world, int, time.Time) func() {
	return func(w *world, _ int, until time.Time) func() {
		w.calm.disturb(theStore, time.Now(), until)
		w.store.SetOutage(kind)
		return func() { w.store.SetOutage(brstandin.OutageNone) }
	}
}

func slowStore(w *world, _ int, until time.Time) func() {
	w.calm.disturb(theStore, time.Now(), until)
	w.store.SetDelay(200 * time.Millisecond)
	return func() { w.store.SetDelay(0) }
}

func forgetHistory(w *world, _ int, _ time.Time) func() {
	w.calm.disturb(theStore, time.Now(), time.Now().Add(time.Second))
	w.store.Forget()
	return nil
}

// lapse removes the registration of a server during an outage of the store. The
// server registers again 1 s after the outage.
func lapse(w *world, pick int, until time.Time) func() {
	w.calm.disturb(theStore, time.Now(), until.Add(2*time.Second))
	w.store.SetOutage(brstandin.OutageBusy)
	s := w.someServer(pick)
	if s != nil {
		w.store.Drop("servers", s.ID())
	}
	return func() {
		w.store.SetOutage(brstandin.OutageNone)
		if s != nil && s.Left().IsZero() {
			time.Sleep(time.Second)
			s.Report("ready")
		}
	}
}

// atServer injects a fault at one of the servers, unless too few servers of its
// service would be left.
func atServer(begin func(w *world, s *brstandin.Server, pick int, until time.Time) func()) func(*world, int, time.Time) func() {
	return func(w *world, pick int, until time.Time) func() {
		s := w.someServer(pick)
		if s == nil {
			return nil
		}
		return begin(w, s, pick, until)
	}
}

func crashServer(w *world, s *brstandin.Server, _ int, _ time.Time) func() {
	w.crash(s)
	return func() { w.replace(s) }
}

// repeatDeadly keeps sending a request that crashes servers, through any VM.
func repeatDeadly(w *world, pick int, until time.Time) func() {
	ctx, cancel := context.WithDeadline(context.Background(), until.Add(2*contactTime))
	defer cancel()
	c := newCallerOf(w, uint64(pick), deadlyNumber+pick, &atomic.Int64{})
	defer c.caller.Close()
	for ctx.Err() == nil {
		c.lookUp(ctx)
		if m := c.pick(); m != nil {
			c.deadly(ctx, m)
		}
		select {
		case <-ctx.Done():
		case <-time.After(deadlyPause):
		}
	}
	return nil
}

// reuseAddress crashes a server and gives its address to a server of another service.
func reuseAddress(w *world, s *brstandin.Server, pick int, _ time.Time) func() {
	w.forget(s)
	s.Close()
	return func() {
		s.Unregister()
		next := w.addServer(services[pick%len(services)], "v1", s.Zone())
		p := w.proxyOf(s)
		p.mutex.Lock()
		p.target = next.Address()
		p.mutex.Unlock()
	}
}

func drainServer(w *world, s *brstandin.Server, _ int, _ time.Time) func() {
	w.dropServer(s)
	s.Report("draining")
	w.addServer(s.Service(), s.Version(), s.Zone())
	time.AfterFunc(drainTime+contactTime, func() {
		w.calm.disturb(s.ID(), time.Now(), time.Now().Add(time.Hour))
		s.Unregister()
		s.Close()
	})
	return nil
}

func unregisterServer(w *world, s *brstandin.Server, _ int, _ time.Time) func() {
	w.dropServer(s)
	s.Unregister()
	w.addServer(s.Service(), s.Version(), s.Zone())
	return nil
}

func harmServer(l link) func(*world, int, time.Time) func() {
	return atServer(func(w *world, s *brstandin.Server, _ int, until time.Time) func() {
		w.calm.disturb(s.ID(), time.Now(), until)
		p := w.proxyOf(s)
		p.set(l)
		return func() { p.set(link{}) }
	})
}

func slowServer(w *world, s *brstandin.Server, _ int, until time.Time) func() {
	w.calm.disturb(s.ID(), time.Now(), until)
	s.SetWork(20 * workTime)
	return func() { s.SetWork(workTime) }
}

func spoil(kind brstandin.Fault) func(*world, int, time.Time) func() {
	return atServer(func(w *world, s *brstandin.Server, _ int, until time.Time) func() {
		w.calm.disturb(s.ID(), time.Now(), until.Add(time.Second))
		s.SetFault(kind)
		return func() { s.SetFault(brstandin.FaultNone) }
	})
}

func addServer(w *world, pick int, _ time.Time) func() {
	w.addServer(services[pick%len(services)], "v1", domains[pick%len(domains)])
	return nil
}

func moveRoute(w *world, pick int, _ time.Time) func() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	at := pick % len(w.routes)
	old := w.routes[at]
	service := serviceSpare
	if old.Service() == serviceSpare {
		service = serviceLook
	}
	moved := brstandin.NewRoute(old.Name(), old.Prefix(), service, old.Idempotent(), old.Timeout()).WithHomes(old.Homes()...)
	if old.Public() {
		moved = moved.WithPublic()
	}
	w.routes = append([]brstandin.Route{}, w.routes...)
	w.routes[at] = moved
	w.configure()
	return nil
}

func withdrawKey(w *world, _ int, _ time.Time) func() {
	set := func(withdrawn bool) {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.withdrawn["studio"] = withdrawn
		w.configure()
	}
	set(true)
	return func() { set(false) }
}

func manyConfigurations(w *world, pick int, until time.Time) func() {
	for range 2 + pick%5 {
		moveRoute(w, pick, until)
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

func evacuate(w *world, pick int, _ time.Time) func() {
	domain := domains[pick%len(domains)]
	brstandin.Evacuate(w.store, domain, true)
	w.rules.evacuate(domain, true)
	return func() {
		w.rules.evacuate(domain, false)
		brstandin.Evacuate(w.store, domain, false)
	}
}

// rollOut starts servers of a new version and requests a rollout to it.
func rollOut(w *world, pick int, _ time.Time) func() {
	service := services[pick%len(services)]
	version := "v" + time.Now().Format("150405.000")
	for _, domain := range domains {
		w.addServer(service, version, domain)
	}
	brstandin.Rollout(w.store, service, version, 8*time.Second)
	return nil
}
