// Package bradministration provides what operators do: changes of the
// configuration and views of it.
//
// # Usage
//
//	administration := bradministration.New(spreading, table, objects)
//	generation, err := administration.Apply(ctx, "ana", changes)
package bradministration

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/decide/brshare"
	"bergamotroad.example/bergamotroad/internal/duty/brspreading"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/peer/brobject"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

// pollPeriod is how often the newest generation is read from the platform.
const pollPeriod = time.Second

// maxAttempts bounds how often a change is tried again after a race.
const maxAttempts = 4

// Administration is the operators' service.
type Administration struct {
	spreading *brspreading.Spreading
	table     brtable.Table
	objects   brobject.Store
}

// New returns the service.
func New(spreading *brspreading.Spreading, table brtable.Table, objects brobject.Store) *Administration {
	return &Administration{spreading: spreading, table: table, objects: objects}
}

// ErrConflict says that other operators' changes came first.
type ErrConflict struct {
	generation uint64
}

// Error names the generation that came first.
func (e ErrConflict) Error() string {
	return fmt.Sprintf("another change came first: generation %d", e.generation)
}

// IsErrConflict reports whether err is or wraps ErrConflict.
func IsErrConflict(err error) bool {
	_, ok := errors.Into[ErrConflict](err)
	return ok
}

// Snapshot returns the configuration that this VM holds.
func (a *Administration) Snapshot(ctx context.Context) (*brconfig.Snapshot, error) {
	state, err := a.spreading.State(ctx)
	if err != nil {
		return nil, errors.Errorf("read configuration: %w", err)
	}
	return state.Snapshot(), nil
}

// Apply makes one change of all the given ones and returns its generation.
func (a *Administration) Apply(ctx context.Context, author string, changes []brconfig.Change) (uint64, error) {
	operation := uuid.NewString()
	var err error
	for range maxAttempts {
		var generation uint64
		generation, err = a.attempt(ctx, operation, author, changes)
		if err == nil {
			return generation, nil
		}
		if !IsErrConflict(err) {
			return 0, err
		}
	}
	return 0, err
}

func (a *Administration) attempt(ctx context.Context, operation, author string, changes []brconfig.Change) (uint64, error) {
	version, head, err := a.readHead(ctx)
	if err != nil {
		return 0, err
	}
	state, err := a.spreading.State(ctx)
	if err != nil {
		return 0, errors.Errorf("read configuration: %w", err)
	}
	if state.Head() != head {
		return 0, a.behind(ctx, head)
	}
	changed, err := state.Snapshot().Apply(head.Generation()+1, changes)
	if err != nil {
		return 0, errors.Errorf("check change: %w", err)
	}
	if err := brshare.CheckContracts(changed); err != nil {
		return 0, errors.Errorf("check change: %w", err)
	}
	data, err := brdocument.EncodeDelta(brdocument.NewDelta(head, operation, author, changes))
	if err != nil {
		return 0, errors.Errorf("encode change: %w", err)
	}
	next := brdocument.NewHead(head.Generation()+1, operation, data)
	if err := a.write(ctx, version, next, data); err != nil {
		return 0, err
	}
	if _, err := a.spreading.Offer(ctx, [][]byte{data}); err != nil {
		return 0, errors.Errorf("take change into force: %w", err)
	}
	return next.Generation(), nil
}

// behind waits a little for the poller to bring the head, so that the next attempt follows it.
func (a *Administration) behind(ctx context.Context, head brdocument.Head) error {
	const patience = 2 * pollPeriod
	if _, err := a.spreading.Wait(ctx, head.Generation()-1, patience); err != nil {
		return errors.Errorf("wait for generation %d: %w", head.Generation(), err)
	}
	return ErrConflict{generation: head.Generation()}
}

func (a *Administration) readHead(ctx context.Context) (int64, brdocument.Head, error) {
	row, err := a.table.Read(ctx, brdocument.HeadKey)
	if brtable.IsErrRowNotExist(err) {
		return 0, brdocument.Head{}, nil
	}
	if err != nil {
		return 0, brdocument.Head{}, errors.Errorf("read head: %w", err)
	}
	head, err := brdocument.DecodeHead(row.Value())
	if err != nil {
		return 0, brdocument.Head{}, errors.Errorf("decode head: %w", err)
	}
	return row.Version(), head, nil
}

func (a *Administration) write(ctx context.Context, version int64, next brdocument.Head, data []byte) error {
	if err := a.objects.Put(ctx, next.DeltaName(), data); err != nil {
		return errors.Errorf("write delta: %w", err)
	}
	row, err := brdocument.EncodeHead(next)
	if err != nil {
		return errors.Errorf("encode head: %w", err)
	}
	err = a.table.Commit(ctx, brtable.NewTransaction().Require(brdocument.HeadKey, version).Put(brdocument.HeadKey, row))
	switch {
	case err == nil:
		return nil
	case brtable.IsErrPrecondition(err):
		return ErrConflict{generation: next.Generation()}
	case brtable.IsErrOutcomeUnknown(err):
		return a.settle(ctx, next)
	default:
		return errors.Errorf("move head: %w", err)
	}
}

// settle finds out whether a write whose answer was lost has taken effect.
func (a *Administration) settle(ctx context.Context, next brdocument.Head) error {
	_, head, err := a.readHead(ctx)
	if err != nil {
		return errors.Errorf("outcome of change %s is unknown: %w", next.Operation(), err)
	}
	if head == next {
		return nil
	}
	return ErrConflict{generation: head.Generation()}
}
