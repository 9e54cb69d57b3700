package brconfig

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

// MoveState is the state of a move.
type MoveState string

// The states of a move.
const (
	MovePlanned   MoveState = "planned"
	MoveRunning   MoveState = "running"
	MoveCancelled MoveState = "cancelled"
	MoveDone      MoveState = "done"
	MoveUndone    MoveState = "undone"
)

// Move shifts the traffic of a service from one version to another in steps.
type Move struct {
	Meta
	service  string
	from     string
	to       string
	cap      brunit.Amount
	start    time.Time
	deadline time.Time
	state    MoveState
	step     int
	reason   string
}

// NewMove returns a planned move between two versions of a service.
func NewMove(meta Meta, service, from, to string) Move {
	return Move{Meta: meta, service: service, from: from, to: to, cap: brunit.New(1, 1), state: MovePlanned}
}

// WithCap returns the move with the maximum fraction of traffic, 0 to 1, that
// the new version may receive before it is known to be healthy.
func (m Move) WithCap(fraction brunit.Amount) Move {
	m.cap = fraction
	return m
}

// WithTimes returns the move with its start time and deadline.
func (m Move) WithTimes(start, deadline time.Time) Move {
	m.start = start
	m.deadline = deadline
	return m
}

// WithState returns the move in the given state and step, with the reason for it.
func (m Move) WithState(state MoveState, step int, reason string) Move {
	m.state = state
	m.step = step
	m.reason = reason
	return m
}

// Kind returns KindMove.
func (Move) Kind() Kind { return KindMove }

// References returns a reference to the service.
func (m Move) References() []Reference {
	return []Reference{NewReference(KindService, m.service)}
}

// UniqueValues returns the service while the move is planned or running: a service may
// have only one unfinished move.
func (m Move) UniqueValues() []UniqueValue {
	if m.state != MovePlanned && m.state != MoveRunning {
		return nil
	}
	return []UniqueValue{NewUniqueValue("move of", m.service)}
}

// Service returns the name of the service.
func (m Move) Service() string { return m.service }

// From returns the version that receives the traffic before the move.
func (m Move) From() string { return m.from }

// To returns the version that receives the traffic after the move.
func (m Move) To() string { return m.to }

// Cap returns the maximum fraction of traffic that the new version may receive
// before it is known to be healthy.
func (m Move) Cap() brunit.Amount { return m.cap }

// Start returns the time before which no traffic is shifted.
func (m Move) Start() time.Time { return m.start }

// Deadline returns the time by which the move is completed or rolled back.
func (m Move) Deadline() time.Time { return m.deadline }

// State returns the state of the move.
func (m Move) State() MoveState { return m.state }

// Step returns the number of the current step.
func (m Move) Step() int { return m.step }

// Reason returns the reason for the current state, or "".
func (m Move) Reason() string { return m.reason }
