package brrequest

import "time"

// OutcomeKind says how a request on a backend server ended.
type OutcomeKind string

// The ways in which a request on a backend server ends.
const (
	// OutcomeAnswered means that the server gave a whole answer without fault.
	OutcomeAnswered OutcomeKind = "answered"
	// OutcomeFault means that the server answered with a status of its own fault.
	OutcomeFault OutcomeKind = "fault"
	// OutcomeShed means that the server refused the request before running it.
	OutcomeShed OutcomeKind = "shed"
	// OutcomeNotSent means that the server could not be reached.
	OutcomeNotSent OutcomeKind = "not-sent"
	// OutcomeBroken means that the connection broke before the whole answer came.
	OutcomeBroken OutcomeKind = "broken"
	// OutcomeCancelled means that the caller gave up.
	OutcomeCancelled OutcomeKind = "cancelled"
)

// Outcome tells the balancing of servers how a request ended.
type Outcome struct {
	server  string
	kind    OutcomeKind
	latency time.Duration
	route   string
}

// NewOutcome returns the end of a request on a server, with the time from
// sending it to the head of the answer.
func NewOutcome(server string, kind OutcomeKind, latency time.Duration) Outcome {
	return Outcome{server: server, kind: kind, latency: latency}
}

// WithRoute returns the outcome with the name of the request's route.
func (o Outcome) WithRoute(route string) Outcome {
	o.route = route
	return o
}

// Route returns the name of the request's route, or "" where it does not matter.
func (o Outcome) Route() string { return o.route }

// Server returns the name of the server.
func (o Outcome) Server() string { return o.server }

// Kind returns how the request ended.
func (o Outcome) Kind() OutcomeKind { return o.kind }

// Latency returns the time from sending the request to the head of the answer.
func (o Outcome) Latency() time.Duration { return o.latency }
