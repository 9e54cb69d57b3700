package brconfig

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

// MoveState is how far a move has come.
type MoveState string

// The states of a move.
const (
	MovePlanned   MoveState = "planned"
	MoveRunning   MoveState = "running"
	MoveCancelled MoveState = "cancelled"
	MoveDone      MoveState = "done"
	MoveUndone    MoveState = "undone"
)

// Move takes the traffic of a service from one version to another.
type Move struct {
	Meta
	service string
	from    string
	to      string
	cap     brunit.Amount
	start   time.Time
	by      time.Time
	state   MoveState
	step    int
	reason  string
}

// NewMove returns a planned move between two versions of a service.
func NewMove(meta Meta, service, from, to string) Move {
	return Move{Meta: meta, service: service, from: from, to: to, cap: brunit.New(1, 1), state: MovePlanned}
}

// WithCap returns the move with the largest fraction of traffic, 0 to 1, that
// the new version may get before it has proved itself.
func (m Move) WithCap(fraction brunit.Amount) Move {
	m.cap = fraction
	return m
}

// WithTimes returns the move with its start and the time by which it ends.
func (m Move) WithTimes(start, by time.Time) Move {
	m.start = start
	m.by = by
	return m
}

// WithState returns the move at a step of a state, and why.
func (m Move) WithState(state MoveState, step int, reason string) Move {
	m.state = state
	m.step = step
	m.reason = reason
	return m
}

// Kind returns KindMove.
func (Move) Kind() Kind { return KindMove }

// References returns the service.
func (m Move) References() []Reference {
	return []Reference{NewReference(KindService, m.service)}
}

// Claims returns the service, which has one move at most that has not ended.
func (m Move) Claims() []Claim {
	if m.state != MovePlanned && m.state != MoveRunning {
		return nil
	}
	return []Claim{NewClaim("move of", m.service)}
}

// Service returns the name of the service.
func (m Move) Service() string { return m.service }

// From returns the version that carries the traffic before.
func (m Move) From() string { return m.from }

// To returns the version that carries the traffic afterwards.
func (m Move) To() string { return m.to }

// Cap returns the largest fraction of traffic that the new version may get
// before it has proved itself.
func (m Move) Cap() brunit.Amount { return m.cap }

// Start returns the time before which nothing is moved.
func (m Move) Start() time.Time { return m.start }

// By returns the time by which the move is done or undone.
func (m Move) By() time.Time { return m.by }

// State returns how far the move has come.
func (m Move) State() MoveState { return m.state }

// Step returns the number of the step that the move is at.
func (m Move) Step() int { return m.step }

// Reason returns why the move is in its state, or "".
func (m Move) Reason() string { return m.reason }
