// Package bradministration implements the operators' service: it changes the
// configuration and reads its current and past states.
//
// A change first writes its delta to the object store. A single transaction on
// the table then advances the head, inserts the row of the operation and appends
// an entry to the journal. Its preconditions are that the head is still the one
// that the change is based on and that the operation has no row yet. An operation
// therefore takes effect at most once, no matter who retries it or how late a
// delayed write is applied: either its row exists, or the head has advanced and
// the transaction fails.
//
// # Usage
//
//	administration := bradministration.New(clock, policy, limiter, replica, table, objects, witnesses, timeline)
//	outcome, err := administration.Apply(ctx, bradministration.NewOperation(principal, bradministration.FixedEdit(changes)))
//	if bradministration.IsErrOutcomeUnknown(err) {
//		entry, err := administration.Operation(ctx, operationID)
//	}
package bradministration

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/decide/braccess"
	"bergamotroad.example/bergamotroad/internal/duty/brdistributor"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/peer/brobject"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

// ConfigReplica holds this VM's replica of the configuration.
type ConfigReplica interface {
	// State returns the current state of the replica.
	State(ctx context.Context) (brdistributor.State, error)
	// Offer applies deltas, oldest first, and returns the resulting state.
	Offer(ctx context.Context, deltas [][]byte) (brdistributor.State, error)
	// Wait returns the state as soon as its generation is above the given one,
	// or when the timeout expires.
	Wait(ctx context.Context, above uint64, timeout time.Duration) (brdistributor.State, error)
}

// ChangeLimiter limits the rate of configuration changes per team.
type ChangeLimiter interface {
	// Take counts one change of a team and returns 0, or the time until the
	// team's next change is allowed.
	Take(ctx context.Context, team string) (time.Duration, error)
}

// Administration is the operators' service.
type Administration struct {
	policy    braccess.Policy
	limiter   ChangeLimiter
	clock     brclock.Clock
	replica   ConfigReplica
	table     brtable.Table
	objects   brobject.Store
	witnesses Witnesses
	events    brevent.Recorder
}

// New returns the service, which authenticates operators by a policy.
func New(clock brclock.Clock, policy braccess.Policy, limiter ChangeLimiter, replica ConfigReplica, table brtable.Table, objects brobject.Store, witnesses Witnesses, events brevent.Recorder) *Administration {
	return &Administration{
		policy:    policy,
		limiter:   limiter,
		clock:     clock,
		replica:   replica,
		table:     table,
		objects:   objects,
		witnesses: witnesses,
		events:    events,
	}
}

// Snapshot returns the configuration as this VM's replica has it.
func (a *Administration) Snapshot(ctx context.Context) (*brconfig.Snapshot, error) {
	state, err := a.replica.State(ctx)
	if err != nil {
		return nil, errors.Errorf("read configuration: %w", err)
	}
	return state.Snapshot(), nil
}
