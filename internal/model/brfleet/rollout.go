package brfleet

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrecord"
)

// RolloutState is the progress of a rollout.
type RolloutState string

// The states of a rollout.
const (
	RolloutOrdered    RolloutState = "ordered"
	RolloutRunning    RolloutState = "running"
	RolloutSucceeded  RolloutState = "succeeded"
	RolloutRolledBack RolloutState = "rolled-back"
)

// Ended reports whether the rollout has succeeded or was rolled back.
func (s RolloutState) Ended() bool { return s == RolloutSucceeded || s == RolloutRolledBack }

// Rollout is the rollout of a version of a service that an operator ordered. It is
// immutable.
type Rollout struct {
	service  string
	target   string
	duration time.Duration
	revision brrecord.Revision
	state    RolloutState
}

// NewRollout returns a rollout in state RolloutOrdered; the revision distinguishes
// it from later ones.
func NewRollout(service, target string, duration time.Duration, revision brrecord.Revision) Rollout {
	return Rollout{service: service, target: target, duration: duration, revision: revision, state: RolloutOrdered}
}

// WithState returns the rollout in another state.
func (r Rollout) WithState(state RolloutState) Rollout {
	r.state = state
	return r
}

// Service returns the name of the service.
func (r Rollout) Service() string { return r.service }

// Target returns the version that is rolled out.
func (r Rollout) Target() string { return r.target }

// Duration returns the time within which the rollout must succeed or be rolled back.
func (r Rollout) Duration() time.Duration { return r.duration }

// Revision returns the revision that distinguishes the rollout from later ones.
func (r Rollout) Revision() brrecord.Revision { return r.revision }

// State returns the rollout's state.
func (r Rollout) State() RolloutState { return r.state }
