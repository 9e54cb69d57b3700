package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"bergamotroad.example/bergamotroad/platform/brstandin"
)

const (
	callersEach = 4 // per failure domain
	usualPause  = 60 * time.Millisecond
	longWork    = 400 * time.Millisecond // service time of one request in longShare
	longShare   = 8
	// deadlyPath is the path prefix of requests that crash the server, and
	// deadlyPause is the interval between two of them.
	deadlyPath     = "/look/deadly"
	deadlyPause    = 500 * time.Millisecond
	deadlyNumber   = 1000 // lowest number of a caller that sends such requests
	connectTimeout = time.Second
)

// callerOf is a client that looks up entry VMs and sends requests to them.
type callerOf struct {
	world  *world
	number int
	domain string
	random *rand.Rand
	caller *brstandin.Caller
	known  []string
	until  time.Time
	vm     *machine
	sent   int
	served *atomic.Int64
}

func newCallerOf(w *world, seed uint64, number int, served *atomic.Int64) *callerOf {
	return &callerOf{
		world: w, number: number, domain: domains[number%len(domains)], caller: brstandin.NewCaller(),
		random: rand.New(rand.NewPCG(seed, uint64(number)+1)), served: served,
	}
}

// run sends requests until ctx is cancelled.
func (c *callerOf) run(ctx context.Context) {
	defer c.caller.Close()
	for ctx.Err() == nil {
		c.lookUp(ctx)
		m := c.pick()
		if m != nil {
			c.request(ctx, m)
		}
		pause := time.Duration(c.random.Int64N(int64(2 * usualPause)))
		if c.number%8 == 0 {
			pause /= 10 // its organisation sends far more than its quota
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// lookUp refreshes the known VM addresses once they have expired. It tries up to
// three VMs, starting at a random one.
func (c *callerOf) lookUp(ctx context.Context) {
	if time.Now().Before(c.until) {
		return
	}
	all := c.world.all()
	at := c.random.IntN(len(all))
	for i := range min(3, len(all)) {
		m := all[(at+i)%len(all)]
		addresses, lifetime, err := c.caller.LookUp(ctx, m.site.LookupAddress(), regions[c.domain], c.domain)
		if err == nil && len(addresses) > 0 {
			c.world.checkNames(m, addresses)
			c.known, c.until = addresses, time.Now().Add(lifetime)
			return
		}
	}
}

// checkNames counts look-up answers that still contain a VM that was removed more
// than contactTime and 3 s ago.
func (w *world) checkNames(asked *machine, addresses []string) {
	now := time.Now()
	if !w.calm.both(asked.site.Name(), now.Add(-contactTime), now) {
		return
	}
	for _, address := range addresses {
		if m := w.machineAt(address); m != nil && m.isGone() && w.calm.goneFor(m.site.Name(), now) > contactTime+3*time.Second {
			w.ledger.mutex.Lock()
			w.ledger.tolerate("DRAIN of look-ups", "look-up at %s returned %s, which was removed long ago", asked.site.Name(), m.site.Name())
			w.ledger.mutex.Unlock()
		}
	}
}

// pick mostly keeps the current VM while look-ups return it, so that connections
// are reused.
func (c *callerOf) pick() *machine {
	if len(c.known) == 0 {
		return nil
	}
	if c.vm != nil && contains(c.known, c.vm.site.CallerAddress()) && c.random.IntN(10) > 0 {
		return c.vm
	}
	c.vm = c.world.machineAt(c.known[c.random.IntN(len(c.known))])
	return c.vm
}

func (c *callerOf) request(ctx context.Context, m *machine) {
	routes, organisations := firstRoutes(), firstOrganisations()
	route := routes[c.random.IntN(len(routes))]
	organisation := organisations[c.number%len(organisations)].Name()
	if c.number%8 == 0 {
		organisation = "taller"
	}
	key := "key-" + organisation
	if route.Public() {
		organisation, key = "", ""
	}
	c.sent++
	id := fmt.Sprintf("c%d-%d", c.number, c.sent)
	path := fmt.Sprintf("%s%d?q=%d", route.Prefix(), c.random.IntN(50), c.sent)
	if c.random.IntN(longShare) == 0 {
		path += fmt.Sprintf("&work=%d", longWork.Milliseconds())
	}
	call := brstandin.NewCall(id, "POST", path, strings.Repeat("w", c.random.IntN(40)), key, route.Timeout()+time.Second)
	r := &request{call: call, route: route, organisation: organisation, vm: m.site.Name(), vmRegion: m.site.Region()}
	c.send(ctx, m, r)
}

// isDeadly reports whether a call, given as "METHOD PATH BODY", crashes the server
// that runs it.
func isDeadly(call string) bool { return strings.Contains(call, " "+deadlyPath) }

// deadly sends a request that crashes every server which starts to run it.
func (c *callerOf) deadly(ctx context.Context, m *machine) {
	route := firstRoutes()[0]
	c.sent++
	call := brstandin.NewCall(fmt.Sprintf("c%d-%d", c.number, c.sent), "POST", fmt.Sprint(deadlyPath, c.number), "", "key-depot", route.Timeout()+time.Second)
	c.send(ctx, m, &request{call: call, route: route, organisation: "depot", vm: m.site.Name(), vmRegion: m.site.Region()})
}

// send sends a request and records its outcome. One in twenty requests is abandoned
// by the caller within 100 ms.
func (c *callerOf) send(ctx context.Context, m *machine, r *request) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if c.random.IntN(20) == 0 {
		timer := time.AfterFunc(time.Duration(c.random.IntN(100))*time.Millisecond, func() {
			c.world.ledger.leave(r)
			cancel()
		})
		defer timer.Stop()
	}
	c.world.ledger.send(r)
	answer, err := c.caller.Send(ctx, m.toFront.address(), r.call)
	if err != nil && ctx.Err() != nil {
		c.world.ledger.leave(r)
	}
	c.world.ledger.end(r, answer, err)
	if answer.Succeeded() {
		c.served.Add(1)
	}
	if err != nil {
		c.avoid(m)
	}
	if answer.RetryIn() > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(min(answer.RetryIn(), connectTimeout)):
		}
	}
}

// avoid excludes a failed VM until the next look-up.
func (c *callerOf) avoid(m *machine) {
	c.vm = nil
	c.known = slices.DeleteFunc(slices.Clone(c.known), func(address string) bool { return address == m.site.CallerAddress() })
	if len(c.known) == 0 {
		c.until = time.Time{}
	}
}

// newGuard reserves a block of loopback addresses until the listener is closed.
func newGuard(block int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.%d.3.1:%d", block, firstPort))
}
