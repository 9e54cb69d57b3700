package brmove

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Book holds the gate of each service that has a move. It is not safe for
// concurrent use.
type Book struct {
	gates map[string]*Gate // by service
}

// NewBook returns a book without gates.
func NewBook() *Book { return &Book{gates: map[string]*Gate{}} }

// Update takes over the moves of a snapshot. If a service has several moves, the
// open one applies, or else the one with the latest end time.
func (b *Book) Update(now time.Time, snapshot *brconfig.Snapshot) {
	current := map[string]brconfig.Move{}
	for m := range snapshot.Moves().All() {
		held, ok := current[m.Service()]
		if !ok || goesBefore(m, held) {
			current[m.Service()] = m
		}
	}
	gates := make(map[string]*Gate, len(current))
	for service, move := range current {
		gate, ok := b.gates[service]
		if !ok || gate.move.Name() != move.Name() {
			gate = NewGate(now, move)
		}
		gate.Update(now, move)
		gates[service] = gate
	}
	b.gates = gates
}

// goesBefore reports whether a move takes precedence over another move of the same
// service.
func goesBefore(m, other brconfig.Move) bool {
	if isOpen(m) != isOpen(other) {
		return isOpen(m)
	}
	return m.By().After(other.By())
}

// Placed counts a request of a service that was placed on a server.
func (b *Book) Placed(service, route string) {
	if gate, ok := b.gates[service]; ok {
		gate.Placed(route)
	}
}

// Choose returns the versions that may run the next request of a service, in order
// of preference, or nil if any version may.
func (b *Book) Choose(now time.Time, service, route string) []string {
	gate, ok := b.gates[service]
	if !ok {
		return nil
	}
	return gate.Choose(now, route)
}

// Observe records the outcome of a request that ran on a server.
func (b *Book) Observe(now time.Time, server brconfig.Server, outcome brrequest.Outcome) {
	if gate, ok := b.gates[server.Service()]; ok {
		gate.Observe(now, server.Version(), outcome)
	}
}

// Proposals returns the changes of moves that are due.
func (b *Book) Proposals(now time.Time) []Proposal {
	proposals := []Proposal{}
	for _, gate := range b.gates {
		if proposal, ok := gate.Propose(now).Get(); ok {
			proposals = append(proposals, proposal)
		}
	}
	return proposals
}
