// Package brbalance decides which backend server runs a request.
//
// A server's slots are divided among the entry VMs of its failure domain. A VM
// goes beyond its share step by step while the server takes it, and back to it
// when the server sheds.
//
// What this VM has seen of a server counts: requests in flight, latency,
// faults. One that fails is ejected for a while and comes back by single
// probes; a cold one starts with a part of its slots. No more than a part of a service is ever ejected, so that
// a misleading signal can't empty it. What servers say of their own health or
// load is not asked for.
//
// The policy that chooses among the servers with a free slot is a type parameter.
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

// Balancer knows the backend servers of one failure domain and what runs on
// them for this VM. It has one owner.
type Balancer[P Policy] struct {
	vm       string
	domain   string
	policy   P
	random   *rand.Rand
	services map[string]*service
	servers  map[string]*candidate
	moves    *brmove.Gates
	free     []*candidate // scratch of Pick
}

// service holds the listed servers of one service.
type service struct {
	candidates []*candidate
	turn       int
}

// NewBalancer returns the balancer of a VM for the servers of its failure domain.
func NewBalancer[P Policy](vm, domain string, seed uint64) *Balancer[P] {
	return &Balancer[P]{
		vm:       vm,
		domain:   domain,
		random:   rand.New(rand.NewPCG(seed, seed)),
		services: map[string]*service{},
		servers:  map[string]*candidate{},
		moves:    brmove.NewGates(),
	}
}

// Update takes the servers of a snapshot. What is known of them is kept.
func (b *Balancer[P]) Update(now time.Time, snapshot *brconfig.Snapshot) {
	b.moves.Update(now, snapshot)
	for _, c := range b.servers {
		c.listed = false
	}
	b.services = map[string]*service{}
	for s := range snapshot.Servers().All() {
		if s.Domain() == b.domain {
			b.list(s)
		}
	}
	b.divide(vmsOf(snapshot, b.domain))
	for name, c := range b.servers {
		if !c.listed && c.inFlight == 0 {
			delete(b.servers, name)
		}
	}
}

// Pick takes a slot of a server that suits the placement, if one is free.
func (b *Balancer[P]) Pick(now time.Time, placement brrequest.Placement) broption.Option[brconfig.Server] {
	s, ok := b.services[placement.Service()]
	if !ok {
		return broption.None[brconfig.Server]()
	}
	b.findFree(now, s, placement)
	if len(b.free) == 0 {
		return broption.None[brconfig.Server]()
	}
	s.turn++
	best := b.policy.choose(b.free, b.random, s.turn)
	best.inFlight++
	b.moves.RecordPlacement(placement.Service(), placement.Route())
	return broption.Some(best.server)
}

// findFree collects the candidates with a free slot: those of the best version
// that has any, where a move says which versions may run the request.
func (b *Balancer[P]) findFree(now time.Time, s *service, placement brrequest.Placement) {
	versions := b.moves.Choose(now, placement.Service(), placement.Route())
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

func (b *Balancer[P]) addFree(now time.Time, s *service, placement brrequest.Placement, suits func(version string) bool) {
	for _, c := range s.candidates {
		if suits(c.server.Version()) && c.available(now) && !placement.Avoids(c.server.Name()) {
			b.free = append(b.free, c)
		}
	}
}

// Proposals returns the next records of moves that are due.
func (b *Balancer[P]) Proposals(now time.Time) []brmove.Proposal {
	return b.moves.Proposals(now)
}

// Release gives back the slot of a request that has ended, and learns from its outcome.
func (b *Balancer[P]) Release(now time.Time, outcome brrequest.Outcome) {
	c, ok := b.servers[outcome.Server()]
	if !ok {
		return
	}
	c.inFlight = max(c.inFlight-1, 0)
	if c.inFlight == 0 && !c.listed {
		delete(b.servers, outcome.Server())
		return
	}
	b.moves.Observe(now, c.server, outcome)
	c.learn(now, outcome)
	if c.failing() && b.mayEject(now, c) {
		c.eject(now)
	}
}

// InFlight returns the number of requests that run on a server for this VM.
func (b *Balancer[P]) InFlight(server string) int {
	c, ok := b.servers[server]
	if !ok {
		return 0
	}
	return c.inFlight
}

// Ejected returns how many servers of a service get no requests but probes.
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

// mayEject reports whether one more server of a service may be ejected.
func (b *Balancer[P]) mayEject(now time.Time, c *candidate) bool {
	if c.ejected {
		// A probe failed: nothing more is taken from the service.
		return !c.pausedAt(now)
	}
	s, ok := b.services[c.server.Service()]
	if !ok {
		return false
	}
	most := max(len(s.candidates)*maxEjectedPercent/100, 1)
	return b.Ejected(c.server.Service()) < min(most, len(s.candidates)-1)
}

func (b *Balancer[P]) list(server brconfig.Server) {
	c, ok := b.servers[server.Name()]
	if !ok || c.server.Address() != server.Address() || c.server.Version() != server.Version() {
		c = newCandidate(server, c)
		b.servers[server.Name()] = c
	}
	c.server = server
	c.listed = true
	s, ok := b.services[server.Service()]
	if !ok {
		s = &service{}
		b.services[server.Service()] = s
	}
	s.candidates = append(s.candidates, c)
}

// Serves reports whether any server of a service is listed in the failure domain.
func (b *Balancer[P]) Serves(service string) bool {
	s, ok := b.services[service]
	return ok && len(s.candidates) > 0
}
