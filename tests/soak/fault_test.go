package soak

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"

	"bergamotroad.example/bergamotroad/internal/standin/brrawserver"
	"bergamotroad.example/bergamotroad/platform/brstandin"
)

// fault is one kind of fault. begin injects it into the target that pick selects. It
// returns the function to call at the time until to end the fault, or nil if the fault
// ends by itself.
type fault struct {
	name   string
	begin  func(d *deployment, pick int, until time.Time) (end func())
	global bool // affects the store or all VMs at once
}

// step is a fault with its start time.
type step struct {
	at     time.Duration
	length time.Duration
	pick   int // selects the target
	fault  fault
}

// faultKindsPerRun is the number of kinds of faults in a run. It is kept low so that some
// VMs stay undisturbed: bounds on time are only checked at these.
const faultKindsPerRun = 8

// drawKinds draws the kinds of faults of a run from a list. Those that affect the store or
// all VMs are included only if includeGlobal is set.
func drawKinds(random *rand.Rand, list []fault, count int, includeGlobal bool) []fault {
	kinds := []fault{}
	for _, i := range random.Perm(len(list)) {
		if len(kinds) < count && (includeGlobal || !list[i].global) {
			kinds = append(kinds, list[i])
		}
	}
	return kinds
}

// drawSteps draws steps whose faults may overlap. Some faults are repeated shortly after
// they ended.
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
	{name: "kill all VMs", begin: killAll, global: true},
	{name: "delay connections of a VM to the store", begin: linkFault(storeProxyOf, link{delay: 300 * time.Millisecond})},
	{name: "stall connections of a VM to the store", begin: linkFault(storeProxyOf, link{stallForward: true, stallBackward: true})},
	{name: "stall responses of the store to a VM", begin: linkFault(storeProxyOf, link{stallBackward: true})},
	{name: "refuse connections of a VM to the store", begin: linkFault(storeProxyOf, link{refuse: true})},
	{name: "delay peer connections to a VM", begin: linkFault(peerProxyOf, link{delay: 200 * time.Millisecond})},
	{name: "stall peer connections to a VM", begin: linkFault(peerProxyOf, link{stallForward: true, stallBackward: true})},
	{name: "stall responses of a VM to its peers", begin: linkFault(peerProxyOf, link{stallBackward: true})},
	{name: "refuse peer connections to a VM", begin: linkFault(peerProxyOf, link{refuse: true})},
	{name: "reset caller connections to a VM", begin: linkFault(callerProxyOf, link{})},
	{name: "delay caller connections to a VM", begin: linkFault(callerProxyOf, link{delay: 100 * time.Millisecond})},
	{name: "store is unavailable", begin: outage(brstandin.OutageUnavailable), global: true},
	{name: "store limits the rate of calls", begin: outage(brstandin.OutageTooManyRequests), global: true},
	{name: "store resets connections", begin: outage(brstandin.OutageReset), global: true},
	{name: "store loses responses", begin: outage(brstandin.OutageLostReply), global: true},
	{name: "store applies writes late", begin: outage(brstandin.OutageLateWrite), global: true},
	{name: "store does not respond", begin: outage(brstandin.OutageHang), global: true},
	{name: "store is slow", begin: slowStore, global: true},
	{name: "store forgets its history", begin: forgetHistory, global: true},
	{name: "server registrations expire in a store outage", begin: expireRegistration, global: true},
	{name: "server crashes and comes back", begin: atServer(crashServer)},
	{name: "server's address goes to another service", begin: atServer(reuseAddress)},
	{name: "callers repeat a request that crashes servers", begin: repeatPoison},
	{name: "server drains", begin: atServer(drainServer)},
	{name: "server unregisters without draining", begin: atServer(unregisterServer)},
	{name: "server stops responding", begin: serverLinkFault(link{stallForward: true, stallBackward: true})},
	{name: "stall responses of a server", begin: serverLinkFault(link{stallBackward: true})},
	{name: "server is slow", begin: atServer(slowServer)},
	{name: "server closes connections without a response", begin: serverFault(brstandin.FaultNoResponse)},
	{name: "server sends responses to other requests", begin: serverFault(brstandin.FaultWrongResponse)},
	{name: "server answers with internal errors", begin: serverFault(brstandin.FaultInternalError)},
	{name: "server truncates responses", begin: serverFault(brstandin.FaultTruncate)},
	{name: "server sheds requests", begin: serverFault(brstandin.FaultShed)},
	{name: "server wants no requests for a time", begin: serverFault(brstandin.FaultQuiet)},
	{name: "server says that it leaves", begin: atServer(leaveServer)},
	{name: "server responds twice", begin: serverFault(brstandin.FaultDuplicateResponse)},
	{name: "server is added", begin: addServer},
	{name: "route moves to another service", begin: moveRoute},
	{name: "key is revoked", begin: revokeKey},
	{name: "several configurations are written", begin: manyConfigurations},
	{name: "failure domain is evacuated", begin: evacuate},
	{name: "new version is rolled out", begin: rollOut},
}

// rawFaults are faults of servers that break the protocol. They are drawn beside the others,
// so that the faults of older seeds stay the same.
var rawFaults = []fault{
	{name: "server writes earlier refusals once more", begin: serverFault(brstandin.FaultCopyRefusal)},
	{name: "server stops within the head of responses", begin: serverFault(brstandin.FaultCutHead)},
	{name: "server writes bytes after responses", begin: serverFault(brstandin.FaultExtraBytes)},
	{name: "server writes responses once more, late", begin: serverFault(brstandin.FaultLateCopy)},
	{name: "server leaves out identifiers", begin: serverFault(brstandin.FaultNoID)},
	{name: "server answers with bytes that are no response", begin: serverFault(brstandin.FaultGarbage)},
	{name: "server sends bodies without a length", begin: serverFault(brstandin.FaultUnframed)},
	{name: "server resets idle connections", begin: serverFault(brstandin.FaultIdleReset)},
}

// brokenFaults are further faults of servers that break the protocol, drawn beside the others
// for the same reason.
var brokenFaults = []fault{
	{name: "server answers with malformed heads", begin: serverFault(brstandin.FaultMalformedHead)},
	{name: "server resets connections within responses", begin: serverFault(brstandin.FaultReset)},
}

// malformedResponses returns the responses of servers that answer with malformed heads.
func malformedResponses() []string {
	texts := []string{}
	for _, malformed := range brrawserver.MalformedResponses("X-Server-Stamp: odd\r\n", "X-Not-Executed: 1") {
		texts = append(texts, malformed.Text("{id}"))
	}
	return texts
}

// rawFaultsPerRun is the number of kinds of rawFaults in a run.
const rawFaultsPerRun = 3

func killVM(d *deployment, pick int, until time.Time) func() {
	v := d.pickVM(pick)
	d.disturbances.add(v.spec.Name(), time.Now(), until.Add(time.Second))
	v.terminate(syscall.SIGKILL)
	return v.start
}

func pauseVM(d *deployment, pick int, until time.Time) func() {
	v := d.pickVM(pick)
	d.disturbances.add(v.spec.Name(), time.Now(), until.Add(time.Second))
	v.signal(syscall.SIGSTOP)
	return func() { v.signal(syscall.SIGCONT) }
}

func restartVM(d *deployment, pick int, until time.Time) func() {
	v := d.pickVM(pick)
	d.disturbances.addPlannedWork(v.spec.Name(), time.Now(), time.Now().Add(graceTime+time.Second))
	v.signal(syscall.SIGTERM)
	return func() {
		d.awaitEnd(v)
		d.disturbances.addPlannedWork(v.spec.Name(), until, time.Now().Add(time.Second))
		v.start()
	}
}

// awaitEnd waits for a process to stop, and kills it after graceTime.
func (d *deployment) awaitEnd(v *entryVM) {
	v.mutex.Lock()
	ended, running := v.ended, v.process != nil
	v.mutex.Unlock()
	if !running {
		return
	}
	select {
	case <-ended:
	case <-time.After(graceTime):
		d.disturbances.add(v.spec.Name(), time.Now(), time.Now().Add(time.Second))
		v.terminate(syscall.SIGKILL)
	}
}

func changeSettings(d *deployment, pick int, _ time.Time) func() {
	v := d.pickVM(pick)
	d.disturbances.addPlannedWork(v.spec.Name(), time.Now(), time.Now().Add(applyTime))
	v.mutex.Lock()
	v.writeSettings()
	v.mutex.Unlock()
	v.signal(syscall.SIGHUP)
	return nil
}

func replaceVM(d *deployment, pick int, until time.Time) func() {
	v := d.pickVM(pick)
	remaining := 0
	for _, other := range d.allVMs() {
		if !other.isRemoved() {
			remaining++
		}
	}
	if v.isRemoved() || remaining <= 3 {
		return nil
	}
	d.disturbances.add(v.spec.Name(), time.Now(), until.Add(time.Hour))
	v.remove(syscall.SIGKILL)
	return func() {
		d.mutex.Lock()
		added := d.addVM()
		d.mutex.Unlock()
		d.disturbances.add(added.spec.Name(), d.started, time.Now().Add(time.Second))
		added.start()
	}
}

func killAll(d *deployment, _ int, until time.Time) func() {
	d.disturbances.add(everything, time.Now(), until.Add(time.Second))
	for _, v := range d.allVMs() {
		v.signal(syscall.SIGKILL)
	}
	return func() {
		for _, v := range d.allVMs() {
			v.terminate(syscall.SIGKILL)
			v.start()
		}
	}
}

func storeProxyOf(v *entryVM) *proxy  { return v.storeProxy }
func peerProxyOf(v *entryVM) *proxy   { return v.peerProxy }
func callerProxyOf(v *entryVM) *proxy { return v.callerProxy }

// linkFault returns a fault that applies a link state to one of the proxies of a VM. It
// first resets the open connections if the state refuses connections or injects no fault.
func linkFault(proxyOf func(*entryVM) *proxy, l link) func(*deployment, int, time.Time) func() {
	return func(d *deployment, pick int, until time.Time) func() {
		v := d.pickVM(pick)
		d.disturbances.add(v.spec.Name(), time.Now(), until)
		if l == (link{}) || l.refuse {
			proxyOf(v).reset()
		}
		proxyOf(v).set(l)
		return func() { proxyOf(v).set(link{}) }
	}
}

func outage(kind brstandin.Outage) func(*deployment, int, time.Time) func() {
	return func(d *deployment, _ int, until time.Time) func() {
		d.disturbances.add(storeName, time.Now(), until)
		d.store.SetOutage(kind)
		return func() { d.store.SetOutage(brstandin.OutageNone) }
	}
}

func slowStore(d *deployment, _ int, until time.Time) func() {
	d.disturbances.add(storeName, time.Now(), until)
	d.store.SetDelay(200 * time.Millisecond)
	return func() { d.store.SetDelay(0) }
}

func forgetHistory(d *deployment, _ int, _ time.Time) func() {
	d.disturbances.add(storeName, time.Now(), time.Now().Add(time.Second))
	d.store.DiscardHistory()
	return nil
}

// expireRegistration removes the registration of a server during an outage of the store. The
// server registers again 1 s after the outage.
func expireRegistration(d *deployment, pick int, until time.Time) func() {
	d.disturbances.add(storeName, time.Now(), until.Add(2*time.Second))
	d.store.SetOutage(brstandin.OutageUnavailable)
	s := d.pickServer(pick)
	if s != nil {
		d.store.Delete("servers", s.ID())
	}
	return func() {
		d.store.SetOutage(brstandin.OutageNone)
		if s != nil && s.DrainStart().IsZero() {
			time.Sleep(time.Second)
			s.Report("ready")
		}
	}
}

// atServer injects a fault at one of the servers, unless too few servers of its
// service would be left.
func atServer(begin func(d *deployment, s *brstandin.Server, pick int, until time.Time) func()) func(*deployment, int, time.Time) func() {
	return func(d *deployment, pick int, until time.Time) func() {
		s := d.pickServer(pick)
		if s == nil {
			return nil
		}
		return begin(d, s, pick, until)
	}
}

func crashServer(d *deployment, s *brstandin.Server, _ int, _ time.Time) func() {
	d.crash(s)
	return func() { d.replace(s) }
}

// repeatPoison keeps sending a request that crashes servers, through any VM.
func repeatPoison(d *deployment, pick int, until time.Time) func() {
	ctx, cancel := context.WithDeadline(context.Background(), until.Add(2*contactTime))
	defer cancel()
	c := newClient(d, uint64(pick), firstPoisonCaller+pick, &atomic.Int64{})
	defer c.caller.Close()
	for ctx.Err() == nil {
		c.lookUp(ctx)
		if v := c.pickVM(); v != nil {
			c.sendPoison(ctx, v)
		}
		select {
		case <-ctx.Done():
		case <-time.After(poisonPause):
		}
	}
	return nil
}

// reuseAddress crashes a server and gives its address to a server of another service.
func reuseAddress(d *deployment, s *brstandin.Server, pick int, _ time.Time) func() {
	d.markCrashed(s)
	s.Close()
	return func() {
		s.Unregister()
		next := d.addServer(services[pick%len(services)], "v1", s.Domain())
		p := d.proxyOf(s)
		p.mutex.Lock()
		p.target = next.Address()
		p.mutex.Unlock()
	}
}

func drainServer(d *deployment, s *brstandin.Server, _ int, _ time.Time) func() {
	d.dropServer(s)
	s.Report("draining")
	d.addServer(s.Service(), s.Version(), s.Domain())
	time.AfterFunc(drainTime+contactTime, func() {
		d.disturbances.add(s.ID(), time.Now(), time.Now().Add(time.Hour))
		s.Unregister()
		s.Close()
	})
	return nil
}

func unregisterServer(d *deployment, s *brstandin.Server, _ int, _ time.Time) func() {
	d.dropServer(s)
	s.Unregister()
	d.addServer(s.Service(), s.Version(), s.Domain())
	return nil
}

func serverLinkFault(l link) func(*deployment, int, time.Time) func() {
	return atServer(func(d *deployment, s *brstandin.Server, _ int, until time.Time) func() {
		d.disturbances.add(s.ID(), time.Now(), until)
		p := d.proxyOf(s)
		p.set(l)
		return func() { p.set(link{}) }
	})
}

func slowServer(d *deployment, s *brstandin.Server, _ int, until time.Time) func() {
	d.disturbances.add(s.ID(), time.Now(), until)
	s.SetServiceTime(20 * serviceTime)
	return func() { s.SetServiceTime(serviceTime) }
}

func serverFault(kind brstandin.Fault) func(*deployment, int, time.Time) func() {
	return atServer(func(d *deployment, s *brstandin.Server, _ int, until time.Time) func() {
		d.disturbances.add(s.ID(), time.Now(), until.Add(time.Second))
		s.SetFault(kind)
		return func() { s.SetFault(brstandin.FaultNone) }
	})
}

func addServer(d *deployment, pick int, _ time.Time) func() {
	d.addServer(services[pick%len(services)], "v1", domains[pick%len(domains)])
	return nil
}

func moveRoute(d *deployment, pick int, _ time.Time) func() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	at := pick % len(d.routes)
	old := d.routes[at]
	service := serviceSpare
	if old.Service() == serviceSpare {
		service = serviceLook
	}
	moved := brstandin.NewRoute(old.Name(), old.Prefix(), service, old.Idempotent(), old.Timeout()).WithAllowedRegions(old.AllowedRegions()...)
	if old.Public() {
		moved = moved.WithPublic()
	}
	d.routes = append([]brstandin.Route{}, d.routes...)
	d.routes[at] = moved
	d.configure()
	return nil
}

func revokeKey(d *deployment, _ int, _ time.Time) func() {
	set := func(revoked bool) {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.revoked["studio"] = revoked
		d.configure()
	}
	set(true)
	return func() { set(false) }
}

func manyConfigurations(d *deployment, pick int, until time.Time) func() {
	for range 2 + pick%5 {
		moveRoute(d, pick, until)
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

func evacuate(d *deployment, pick int, _ time.Time) func() {
	domain := domains[pick%len(domains)]
	brstandin.Evacuate(d.store, domain, true)
	d.history.evacuate(domain, true)
	return func() {
		d.history.evacuate(domain, false)
		brstandin.Evacuate(d.store, domain, false)
	}
}

// rollOut starts servers of a new version, which behaves like the old one, and requests a
// rollout to it.
func rollOut(d *deployment, pick int, _ time.Time) func() {
	service := services[pick%len(services)]
	version := "v" + time.Now().Format("150405.000")
	for _, domain := range domains {
		d.addServer(service, version, domain)
	}
	brstandin.StartRollout(d.store, service, version, 8*time.Second)
	return nil
}
