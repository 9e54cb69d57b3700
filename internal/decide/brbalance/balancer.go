// Package brbalance decides which backend server runs a request.
//
// A server's slots are divided among the VMs of its own failure domain, so
// that their sum is no more than the slots. Among servers with a free slot the
// one with the fewest requests in flight wins.
//
// # Usage
//
//	balancer := brbalance.NewBalancer("montevideo-a")
//	balancer.Update(snapshot)
//	server, ok := balancer.Pick(brrequest.NewPlacement("lookup", "taller-norte")).Get()
//	balancer.Release(brrequest.NewOutcome(server.Name(), brrequest.OutcomeAnswered, latency))
package brbalance

import (
	"slices"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Balancer knows the backend servers of one failure domain and what runs on
// them for this VM. It has one owner.
type Balancer struct {
	domain   string
	services map[string][]*candidate
	servers  map[string]*candidate
}

type candidate struct {
	server   brconfig.Server
	inFlight int
	listed   bool
}

// NewBalancer returns a balancer for the servers of a failure domain.
func NewBalancer(domain string) *Balancer {
	return &Balancer{domain: domain, servers: map[string]*candidate{}}
}

// Update takes the servers of a snapshot. Requests in flight are kept in mind.
func (b *Balancer) Update(snapshot *brconfig.Snapshot) {
	for _, c := range b.servers {
		c.listed = false
	}
	b.services = map[string][]*candidate{}
	for s := range snapshot.Servers().All() {
		if s.Domain() == b.domain {
			b.list(s)
		}
	}
	b.forgetUnlisted()
}

// Pick takes a slot of a server that suits the placement, if one is free.
func (b *Balancer) Pick(placement brrequest.Placement) broption.Option[brconfig.Server] {
	var best *candidate
	for _, c := range b.services[placement.Service()] {
		if !c.available() || placement.Avoids(c.server.Name()) {
			continue
		}
		if best == nil || c.inFlight < best.inFlight {
			best = c
		}
	}
	if best == nil {
		return broption.None[brconfig.Server]()
	}
	best.inFlight++
	return broption.Some(best.server)
}

// Release gives back the slot of a request that has ended.
func (b *Balancer) Release(outcome brrequest.Outcome) {
	c, ok := b.servers[outcome.Server()]
	if !ok {
		return
	}
	c.inFlight = max(c.inFlight-1, 0)
	if c.inFlight == 0 && !c.listed {
		delete(b.servers, outcome.Server())
	}
}

// InFlight returns the number of requests that run on a server for this VM.
func (b *Balancer) InFlight(server string) int {
	c, ok := b.servers[server]
	if !ok {
		return 0
	}
	return c.inFlight
}

func (b *Balancer) list(s brconfig.Server) {
	c, ok := b.servers[s.Name()]
	if !ok {
		c = &candidate{}
		b.servers[s.Name()] = c
	}
	c.server = s
	c.listed = true
	b.services[s.Service()] = append(b.services[s.Service()], c)
}

func (b *Balancer) forgetUnlisted() {
	names := []string{}
	for name, c := range b.servers {
		if !c.listed && c.inFlight == 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		delete(b.servers, name)
	}
}

func (c *candidate) available() bool {
	return c.server.State() == brconfig.ServerServing && c.inFlight < c.server.Slots()
}
