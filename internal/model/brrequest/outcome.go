package brrequest

import "time"

// OutcomeKind is the way in which a request to a backend server ended.
type OutcomeKind string

// The kinds of outcomes.
const (
	// OutcomeAnswered means that the server sent a complete response that is not
	// a server error.
	OutcomeAnswered OutcomeKind = "answered"
	// OutcomeFault means that the server responded with a server error.
	OutcomeFault OutcomeKind = "fault"
	// OutcomeShed means that the server refused the request before executing it.
	OutcomeShed OutcomeKind = "shed"
	// OutcomeNotSent means that the server could not be reached.
	OutcomeNotSent OutcomeKind = "not-sent"
	// OutcomeBroken means that the connection broke before the response was complete.
	OutcomeBroken OutcomeKind = "broken"
	// OutcomeCancelled means that the caller cancelled the request.
	OutcomeCancelled OutcomeKind = "cancelled"
)

// Outcome reports to the load balancer how a request ended.
type Outcome struct {
	server  string
	kind    OutcomeKind
	latency time.Duration
	route   string
	fate    Fate
}

// NewOutcome returns the outcome of a request to a server, with the time from
// sending it to receiving the response header.
func NewOutcome(server string, kind OutcomeKind, latency time.Duration) Outcome {
	return Outcome{server: server, kind: kind, latency: latency}
}

// WithRoute returns the outcome with the name of the request's route.
func (o Outcome) WithRoute(route string) Outcome {
	o.route = route
	return o
}

// WithFate returns the outcome with whether the server ran the request.
func (o Outcome) WithFate(fate Fate) Outcome {
	o.fate = fate
	return o
}

// Fate returns whether the server ran the request.
func (o Outcome) Fate() Fate { return o.fate }

// Route returns the name of the request's route, or "" if it is irrelevant.
func (o Outcome) Route() string { return o.route }

// Server returns the name of the server.
func (o Outcome) Server() string { return o.server }

// Kind returns how the request ended.
func (o Outcome) Kind() OutcomeKind { return o.kind }

// Latency returns the time from sending the request to receiving the response header.
func (o Outcome) Latency() time.Duration { return o.latency }
