// Package bradministration provides what operators do: changes of the
// configuration and views of it.
//
// A change writes its delta to the object store and then, in one transaction,
// moves the head, leaves a row for its operation and an entry in the journal.
// The transaction asks that the head is still the one that the change follows
// and that the operation has left no row yet. So an operation takes effect at
// most once, whoever repeats it and however late a lost write lands: either its
// row is there, or the head has moved on and it can't land any more.
//
// # Usage
//
//	administration := bradministration.New(clock, policy, writing, spreading, table, objects, witnesses, timeline)
//	outcome, err := administration.Apply(ctx, bradministration.NewOperation(principal, bradministration.Fixed(changes)))
//	if bradministration.IsErrOutcomeUnknown(err) {
//		entry, err = administration.Operation(ctx, id)
//	}
package bradministration

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/decide/braccess"
	"bergamotroad.example/bergamotroad/internal/duty/brspreading"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/peer/brobject"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

// Spreading holds the configuration of the VM.
type Spreading interface {
	// State returns what the VM holds.
	State(ctx context.Context) (brspreading.State, error)
	// Offer applies deltas, oldest first, and returns what the VM holds then.
	Offer(ctx context.Context, deltas [][]byte) (brspreading.State, error)
	// Wait returns what the VM holds once its generation is above the given
	// one, or after the patience.
	Wait(ctx context.Context, above uint64, patience time.Duration) (brspreading.State, error)
}

// Writing bounds how often teams make changes.
type Writing interface {
	// Take counts one change of a team and returns 0, or how long the team has to wait.
	Take(ctx context.Context, team string) (time.Duration, error)
}

// Administration is the operators' service.
type Administration struct {
	policy    braccess.Policy
	writing   Writing
	clock     brclock.Clock
	spreading Spreading
	table     brtable.Table
	objects   brobject.Store
	witnesses Witnesses
	events    brevent.Recorder
}

// New returns the service, which lets in operators by a policy.
func New(clock brclock.Clock, policy braccess.Policy, writing Writing, spreading Spreading, table brtable.Table, objects brobject.Store, witnesses Witnesses, events brevent.Recorder) *Administration {
	return &Administration{
		policy:    policy,
		writing:   writing,
		clock:     clock,
		spreading: spreading,
		table:     table,
		objects:   objects,
		witnesses: witnesses,
		events:    events,
	}
}

// Snapshot returns the configuration that this VM holds.
func (a *Administration) Snapshot(ctx context.Context) (*brconfig.Snapshot, error) {
	state, err := a.spreading.State(ctx)
	if err != nil {
		return nil, errors.Errorf("read configuration: %w", err)
	}
	return state.Snapshot(), nil
}
