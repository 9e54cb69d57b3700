package brrequest

import (
	"slices"
	"time"
)

// Placement asks for a slot of a backend server. It is immutable.
type Placement struct {
	service      string
	organisation string
	weight       int
	deadline     time.Time
	route        string
	avoided      []string
	patience     time.Duration
}

// NewPlacement asks for a server of a service for an organisation of weight one.
func NewPlacement(service, organisation string) Placement {
	return Placement{service: service, organisation: organisation, weight: 1}
}

// WithWeight returns the placement with the organisation's weight in fair queues.
func (p Placement) WithWeight(weight int) Placement {
	p.weight = weight
	return p
}

// WithDeadline returns the placement with the time at which it is given up.
func (p Placement) WithDeadline(deadline time.Time) Placement {
	p.deadline = deadline
	return p
}

// Waiting returns the placement that waits for its turn, if no slot is free now.
func (p Placement) Waiting(patience time.Duration) Placement {
	p.patience = patience
	return p
}

// WithRoute returns the placement with the name of the request's route.
func (p Placement) WithRoute(route string) Placement {
	p.route = route
	return p
}

// Avoiding returns the placement with one more server that is not wanted.
func (p Placement) Avoiding(server string) Placement {
	p.avoided = append(slices.Clip(p.avoided), server)
	return p
}

// Service returns the name of the service.
func (p Placement) Service() string { return p.service }

// Organisation returns the name of the organisation, or none as "".
func (p Placement) Organisation() string { return p.organisation }

// Weight returns the organisation's weight in fair queues.
func (p Placement) Weight() int { return p.weight }

// Route returns the name of the request's route, or "" where it does not matter.
func (p Placement) Route() string { return p.route }

// Deadline returns the time at which the placement is given up, or the zero time.
func (p Placement) Deadline() time.Time { return p.deadline }

// Patience returns how long the placement waits for its turn, or 0.
func (p Placement) Patience() time.Duration { return p.patience }

// Avoids reports whether a server is not wanted.
func (p Placement) Avoids(server string) bool { return slices.Contains(p.avoided, server) }
