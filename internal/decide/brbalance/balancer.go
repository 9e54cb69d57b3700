// Package brbalance decides which backend server runs a request.
//
// A server's slots are divided among the entry VMs of its failure domain. A VM
// exceeds its share gradually while the server accepts the requests, and returns to
// its share when the server sheds.
//
// A server is rated only by what this VM observes: requests in flight, latency and
// faults. The health and the load that servers report are not used. A server that
// fails is ejected for some time, and returns after a successful probe with a single
// request. A cold server starts with a fraction of its slots. Only a fraction of the
// servers of a service is ejected at the same time, so that a misleading signal
// can't take the whole service out of use.
//
// The policy that selects one of the servers with a free slot is a type parameter.
//
// # Usage
//
//	balancer := brbalance.NewBalancer[brbalance.LeastLoaded]("vm-1", "montevideo-a", seed)
//	balancer.Update(now, snapshot)
//	server, ok := balancer.Pick(now, brrequest.NewPlacement("lookup", "taller-norte")).Get()
//	balancer.Release(now, brrequest.NewOutcome(server.Name(), brrequest.OutcomeAnswered, latency))
package brbalance

import (
	"math/rand/v2"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/decide/brmove"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Balancer distributes the requests of this VM among the backend servers of one
// failure domain. It is not safe for concurrent use.
type Balancer[P Policy] struct {
	vm       string
	domain   string
	policy   P
	random   *rand.Rand
	services map[string]*service
	servers  map[string]*candidate
	gates    *brmove.Gates
	free     []*candidate // buffer of Pick, reused to avoid allocations
}

// service holds the configured servers of one service.
type service struct {
	candidates []*candidate
	rotation   int
}

// NewBalancer returns a balancer for the servers of a VM's failure domain.
func NewBalancer[P Policy](vm, domain string, seed uint64) *Balancer[P] {
	return &Balancer[P]{
		vm:       vm,
		domain:   domain,
		random:   rand.New(rand.NewPCG(seed, seed)),
		services: map[string]*service{},
		servers:  map[string]*candidate{},
		gates:    brmove.NewGates(),
	}
}

// Update applies the servers of a snapshot. It keeps the observations of servers
// whose address and version are unchanged.
func (b *Balancer[P]) Update(now time.Time, snapshot *brconfig.Snapshot) {
	b.gates.Update(now, snapshot)
	for _, c := range b.servers {
		c.configured = false
	}
	b.services = map[string]*service{}
	for s := range snapshot.Servers().All() {
		if s.Domain() == b.domain {
			b.addServer(s)
		}
	}
	b.divideSlots(vmsOf(snapshot, b.domain))
	for name, c := range b.servers {
		if !c.configured && c.inFlight == 0 {
			delete(b.servers, name)
		}
	}
}

// Pick occupies a slot of a server for a placement, if one is free.
func (b *Balancer[P]) Pick(now time.Time, placement brrequest.Placement) broption.Option[brconfig.Server] {
	s, ok := b.services[placement.Service()]
	if !ok {
		return broption.None[brconfig.Server]()
	}
	b.findFree(now, s, placement)
	if len(b.free) == 0 {
		return broption.None[brconfig.Server]()
	}
	s.rotation++
	best := b.policy.choose(b.free, b.random, s.rotation)
	best.inFlight++
	b.gates.RecordPlacement(placement.Service(), placement.Route())
	return broption.Some(best.server)
}

// findFree collects the candidates with a free slot. If the service has a move, only
// those of the most preferred version that has a free slot are collected.
func (b *Balancer[P]) findFree(now time.Time, s *service, placement brrequest.Placement) {
	versions := b.gates.Choose(now, placement.Service(), placement.Route())
	b.free = b.free[:0]
	if versions == nil {
		b.addFree(now, s, placement, func(string) bool { return true })
		return
	}
	for _, version := range versions {
		b.addFree(now, s, placement, func(other string) bool { return other == version })
		if len(b.free) > 0 {
			return
		}
	}
}

func (b *Balancer[P]) addFree(now time.Time, s *service, placement brrequest.Placement, matches func(version string) bool) {
	for _, c := range s.candidates {
		if matches(c.server.Version()) && c.available(now) && !placement.Excludes(c.server.Name()) {
			b.free = append(b.free, c)
		}
	}
}

// Proposals returns the changes of moves that are due.
func (b *Balancer[P]) Proposals(now time.Time) []brmove.Proposal {
	return b.gates.Proposals(now)
}

// Release frees the slot of a request that has ended, and records its outcome.
func (b *Balancer[P]) Release(now time.Time, outcome brrequest.Outcome) {
	c, ok := b.servers[outcome.Server()]
	if !ok {
		return
	}
	c.inFlight = max(c.inFlight-1, 0)
	if c.inFlight == 0 && !c.configured {
		delete(b.servers, outcome.Server())
		return
	}
	b.gates.Observe(now, c.server, outcome)
	c.record(now, outcome)
	if c.failing() && b.mayEject(now, c) {
		c.eject(now)
	}
}

// InFlight returns the number of requests of this VM that are running on a server.
func (b *Balancer[P]) InFlight(server string) int {
	c, ok := b.servers[server]
	if !ok {
		return 0
	}
	return c.inFlight
}

// Ejected returns the number of ejected servers of a service, which get only probes.
func (b *Balancer[P]) Ejected(service string) int {
	s, ok := b.services[service]
	if !ok {
		return 0
	}
	ejected := 0
	for _, c := range s.candidates {
		if c.ejected {
			ejected++
		}
	}
	return ejected
}

// mayEject reports whether a server may be ejected, or ejected again after a failed
// probe.
func (b *Balancer[P]) mayEject(now time.Time, c *candidate) bool {
	if c.ejected {
		// A failed probe does not increase the number of ejected servers.
		return !c.probesBlocked(now)
	}
	s, ok := b.services[c.server.Service()]
	if !ok {
		return false
	}
	limit := max(len(s.candidates)*maxEjectedPercent/100, 1)
	return b.Ejected(c.server.Service()) < min(limit, len(s.candidates)-1)
}

// addServer adds a configured server to its service. A server whose address or version
// changed is treated as a cold one.
func (b *Balancer[P]) addServer(server brconfig.Server) {
	c, ok := b.servers[server.Name()]
	if !ok || c.server.Address() != server.Address() || c.server.Version() != server.Version() {
		c = newCandidate(server, c)
		b.servers[server.Name()] = c
	}
	c.server = server
	c.configured = true
	s, ok := b.services[server.Service()]
	if !ok {
		s = &service{}
		b.services[server.Service()] = s
	}
	s.candidates = append(s.candidates, c)
}

// Serves reports whether the failure domain has any configured server of a service.
func (b *Balancer[P]) Serves(service string) bool {
	s, ok := b.services[service]
	return ok && len(s.candidates) > 0
}
