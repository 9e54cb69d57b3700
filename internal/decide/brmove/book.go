package brmove

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Book holds the gate of each service that has a move. It has one owner.
type Book struct {
	gates map[string]*Gate // by service
}

// NewBook returns a book without gates.
func NewBook() *Book { return &Book{gates: map[string]*Gate{}} }

// Update takes the moves of a snapshot. Of a service's moves the one that has
// not ended counts, or else the one that ended last.
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

// goesBefore reports whether a move counts rather than another of its service.
func goesBefore(m, other brconfig.Move) bool {
	if isOpen(m) != isOpen(other) {
		return isOpen(m)
	}
	return m.By().After(other.By())
}

// Placed counts a request of a service that got a server.
func (b *Book) Placed(service, route string) {
	if gate, ok := b.gates[service]; ok {
		gate.Placed(route)
	}
}

// Choose returns the versions that may run the next request of a service, the
// best first, or none where all may.
func (b *Book) Choose(now time.Time, service, route string) []string {
	gate, ok := b.gates[service]
	if !ok {
		return nil
	}
	return gate.Choose(now, route)
}

// Observe takes the outcome of a request that a server ran.
func (b *Book) Observe(now time.Time, server brconfig.Server, outcome brrequest.Outcome) {
	if gate, ok := b.gates[server.Service()]; ok {
		gate.Observe(now, server.Version(), outcome)
	}
}

// Proposals returns the next records of moves that are due.
func (b *Book) Proposals(now time.Time) []Proposal {
	proposals := []Proposal{}
	for _, gate := range b.gates {
		if proposal, ok := gate.Propose(now).Get(); ok {
			proposals = append(proposals, proposal)
		}
	}
	return proposals
}
