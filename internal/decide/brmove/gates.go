package brmove

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Gates holds the gate of each service that has a move. It is not safe for
// concurrent use.
type Gates struct {
	gates map[string]*Gate // by service
}

// NewGates returns a set without gates.
func NewGates() *Gates { return &Gates{gates: map[string]*Gate{}} }

// Update applies the moves of a snapshot. If a service has several moves, the
// open one applies, or else the one with the latest end time.
func (g *Gates) Update(now time.Time, snapshot *brconfig.Snapshot) {
	current := map[string]brconfig.Move{}
	for m := range snapshot.Moves().All() {
		chosen, ok := current[m.Service()]
		if !ok || takesPrecedence(m, chosen) {
			current[m.Service()] = m
		}
	}
	gates := make(map[string]*Gate, len(current))
	for service, move := range current {
		gate, ok := g.gates[service]
		if !ok || gate.move.Name() != move.Name() {
			gate = NewGate(now, move)
		}
		gate.Update(now, move)
		gates[service] = gate
	}
	g.gates = gates
}

// takesPrecedence reports whether a move applies instead of another move of the
// same service.
func takesPrecedence(m, other brconfig.Move) bool {
	if isOpen(m) != isOpen(other) {
		return isOpen(m)
	}
	return m.Deadline().After(other.Deadline())
}

// RecordPlacement counts a request of a service that was placed on a server.
func (g *Gates) RecordPlacement(service, route string) {
	if gate, ok := g.gates[service]; ok {
		gate.RecordPlacement(route)
	}
}

// Choose returns the versions that may run the next request of a service, in order
// of preference, or nil if any version may.
func (g *Gates) Choose(now time.Time, service, route string) []string {
	gate, ok := g.gates[service]
	if !ok {
		return nil
	}
	return gate.Choose(now, route)
}

// Observe records the outcome of a request that ran on a server.
func (g *Gates) Observe(now time.Time, server brconfig.Server, outcome brrequest.Outcome) {
	if gate, ok := g.gates[server.Service()]; ok {
		gate.Observe(now, server.Version(), outcome)
	}
}

// Proposals returns the changes of moves that are due.
func (g *Gates) Proposals(now time.Time) []Proposal {
	proposals := []Proposal{}
	for _, gate := range g.gates {
		if proposal, ok := gate.Propose(now).Get(); ok {
			proposals = append(proposals, proposal)
		}
	}
	return proposals
}
