package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"bergamotroad.example/bergamotroad/platform/brstandin"
)

const (
	callersPerDomain = 4
	meanPause        = 60 * time.Millisecond
	longRequestTime  = 400 * time.Millisecond // service time of one request in longRequestRatio
	longRequestRatio = 8
	// poisonPath is the path prefix of requests that crash the server, and
	// poisonPause is the interval between two of them.
	poisonPath        = "/look/deadly"
	poisonPause       = 500 * time.Millisecond
	firstPoisonCaller = 1000 // lowest number of a caller that sends such requests
	connectTimeout    = time.Second
)

// client is a simulated caller: it looks up entry VMs and sends requests to them.
type client struct {
	deployment      *deployment
	number          int
	domain          string
	random          *rand.Rand
	caller          *brstandin.Caller
	addresses       []string
	addressesExpire time.Time
	vm              *entryVM
	sent            int
	served          *atomic.Int64
}

func newClient(d *deployment, seed uint64, number int, served *atomic.Int64) *client {
	return &client{
		deployment: d, number: number, domain: domains[number%len(domains)], caller: brstandin.NewCaller(),
		random: rand.New(rand.NewPCG(seed, uint64(number)+1)), served: served,
	}
}

// run sends requests until ctx is cancelled.
func (c *client) run(ctx context.Context) {
	defer c.caller.Close()
	for ctx.Err() == nil {
		c.lookUp(ctx)
		v := c.pickVM()
		if v != nil {
			c.sendRandom(ctx, v)
		}
		pause := time.Duration(c.random.Int64N(int64(2 * meanPause)))
		if c.number%8 == 0 {
			pause /= 10 // makes its organisation send far more than its quota
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// lookUp looks up VM addresses anew once the known ones have expired. It asks up to
// three VMs, starting at a random one.
func (c *client) lookUp(ctx context.Context) {
	if time.Now().Before(c.addressesExpire) {
		return
	}
	all := c.deployment.allVMs()
	at := c.random.IntN(len(all))
	for i := range min(3, len(all)) {
		v := all[(at+i)%len(all)]
		addresses, lifetime, err := c.caller.LookUp(ctx, v.spec.LookupAddress(), regions[c.domain], c.domain)
		if err == nil && len(addresses) > 0 {
			c.deployment.checkLookup(v, addresses)
			c.addresses, c.addressesExpire = addresses, time.Now().Add(lifetime)
			return
		}
	}
}

// checkLookup counts look-up responses that still contain a VM which was removed more
// than contactTime plus 3 s ago.
func (d *deployment) checkLookup(queried *entryVM, addresses []string) {
	now := time.Now()
	if !d.disturbances.vmAndStoreUndisturbed(queried.spec.Name(), now.Add(-contactTime), now) {
		return
	}
	for _, address := range addresses {
		if v := d.vmAt(address); v != nil && v.isRemoved() && d.disturbances.sinceLast(v.spec.Name(), now) > contactTime+3*time.Second {
			d.checker.mutex.Lock()
			d.checker.tolerate("DRAIN of look-ups", "look-up at %s returned %s, which was removed long ago", queried.spec.Name(), v.spec.Name())
			d.checker.mutex.Unlock()
		}
	}
}

// pickVM keeps the current VM in nine of ten cases while look-ups return it, so that
// connections are reused.
func (c *client) pickVM() *entryVM {
	if len(c.addresses) == 0 {
		return nil
	}
	if c.vm != nil && contains(c.addresses, c.vm.spec.CallerAddress()) && c.random.IntN(10) > 0 {
		return c.vm
	}
	c.vm = c.deployment.vmAt(c.addresses[c.random.IntN(len(c.addresses))])
	return c.vm
}

// sendRandom sends a request of a random route. Every eighth caller belongs to taller,
// the only organisation with a quota.
func (c *client) sendRandom(ctx context.Context, v *entryVM) {
	routes, organisations := initialRoutes(), initialOrganisations()
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
	if c.random.IntN(longRequestRatio) == 0 {
		path += fmt.Sprintf("&work=%d", longRequestTime.Milliseconds())
	}
	call := brstandin.NewCall(id, "POST", path, strings.Repeat("w", c.random.IntN(40)), key, route.Timeout()+time.Second)
	r := &request{call: call, route: route, organisation: organisation, vm: v.spec.Name(), vmRegion: v.spec.Region()}
	c.send(ctx, v, r)
}

// isPoison reports whether a call, given as "METHOD PATH BODY", crashes the server
// that runs it.
func isPoison(call string) bool { return strings.Contains(call, " "+poisonPath) }

// sendPoison sends a request that crashes every server which starts to run it.
func (c *client) sendPoison(ctx context.Context, v *entryVM) {
	route := initialRoutes()[0]
	c.sent++
	call := brstandin.NewCall(fmt.Sprintf("c%d-%d", c.number, c.sent), "POST", fmt.Sprint(poisonPath, c.number), "", "key-depot", route.Timeout()+time.Second)
	c.send(ctx, v, &request{call: call, route: route, organisation: "depot", vm: v.spec.Name(), vmRegion: v.spec.Region()})
}

// send sends a request and records its outcome. The caller abandons one in twenty
// requests within 100 ms.
func (c *client) send(ctx context.Context, v *entryVM, r *request) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if c.random.IntN(20) == 0 {
		timer := time.AfterFunc(time.Duration(c.random.IntN(100))*time.Millisecond, func() {
			c.deployment.checker.recordDisconnect(r)
			cancel()
		})
		defer timer.Stop()
	}
	c.deployment.checker.recordSend(r)
	response, err := c.caller.Send(ctx, v.callerProxy.address(), r.call)
	if err != nil && ctx.Err() != nil {
		c.deployment.checker.recordDisconnect(r)
	}
	c.deployment.checker.recordOutcome(r, response, err)
	if response.Succeeded() {
		c.served.Add(1)
	}
	if err != nil {
		c.excludeVM(v)
	}
	if response.RetryAfter() > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(min(response.RetryAfter(), connectTimeout)):
		}
	}
}

// excludeVM excludes a failed VM until the next look-up.
func (c *client) excludeVM(v *entryVM) {
	c.vm = nil
	c.addresses = slices.DeleteFunc(slices.Clone(c.addresses), func(address string) bool { return address == v.spec.CallerAddress() })
	if len(c.addresses) == 0 {
		c.addressesExpire = time.Time{}
	}
}
