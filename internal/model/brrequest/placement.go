package brrequest

import (
	"slices"
	"time"
)

// Placement is a request for a slot of a backend server. It is immutable.
type Placement struct {
	service      string
	organisation string
	weight       int
	deadline     time.Time
	route        string
	excluded     []string
	maxWait      time.Duration
}

// NewPlacement returns a placement on a server of a service, for an organisation
// of weight 1.
func NewPlacement(service, organisation string) Placement {
	return Placement{service: service, organisation: organisation, weight: 1}
}

// WithWeight returns the placement with the organisation's weight in fair queues.
func (p Placement) WithWeight(weight int) Placement {
	p.weight = weight
	return p
}

// WithDeadline returns the placement with the time at which it is abandoned.
func (p Placement) WithDeadline(deadline time.Time) Placement {
	p.deadline = deadline
	return p
}

// WithMaxWait returns the placement with the maximum time that it queues if no slot is
// free.
func (p Placement) WithMaxWait(maxWait time.Duration) Placement {
	p.maxWait = maxWait
	return p
}

// WithRoute returns the placement with the name of the request's route.
func (p Placement) WithRoute(route string) Placement {
	p.route = route
	return p
}

// Excluding returns the placement with one more excluded server.
func (p Placement) Excluding(server string) Placement {
	p.excluded = append(slices.Clip(p.excluded), server)
	return p
}

// Service returns the name of the service.
func (p Placement) Service() string { return p.service }

// Organisation returns the name of the organisation, or "" if there is none.
func (p Placement) Organisation() string { return p.organisation }

// Weight returns the organisation's weight in fair queues.
func (p Placement) Weight() int { return p.weight }

// Route returns the name of the request's route, or "" if it is irrelevant.
func (p Placement) Route() string { return p.route }

// Deadline returns the time at which the placement is abandoned, or the zero time
// if there is none.
func (p Placement) Deadline() time.Time { return p.deadline }

// MaxWait returns the maximum time that the placement queues, or 0 if it does not.
func (p Placement) MaxWait() time.Duration { return p.maxWait }

// Excludes reports whether a server is excluded.
func (p Placement) Excludes(server string) bool { return slices.Contains(p.excluded, server) }
