package brproposal

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/decide/brmove"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

var errResponseLost = errors.New("response lost")

// fakeRecorder stores a move. The fault decides whether a call fails before the write (1),
// after it (2), or not at all (0).
type fakeRecorder struct {
	move   brconfig.Move
	author string
	now    time.Time
	fault  func() int
}

// RecordMove applies the proposal on the same condition as the administration.
func (f *fakeRecorder) RecordMove(_ context.Context, vm, operation string, p brmove.Proposal) (bool, error) {
	fault := f.fault()
	if fault == 1 {
		return false, errResponseLost
	}
	if next, ok := p.Apply(f.now, f.move).Get(); ok {
		f.move = next
		f.author = vm + operation
	}
	if fault == 2 {
		return false, errResponseLost
	}
	return f.author == vm+operation && f.move.State() == p.State(), nil
}

// eventKinds collects the kinds of recorded events.
type eventKinds struct{ kinds []brevent.Kind }

func (e *eventKinds) Record(event brevent.Event) { e.kinds = append(e.kinds, event.Kind()) }

// Several VMs propose the same end of a move, and responses to their writes are lost.
// A VM that can't tell whether it wrote the end must not record the event twice.
func TestEndOfMoveIsRecordedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
		move := brconfig.NewMove(brconfig.NewMeta("m"), "lookup", "v1", "v2").WithTimes(start.Add(-time.Hour), start)
		faults := 20
		store := &fakeRecorder{move: move, now: start, fault: func() int {
			faults--
			if faults < 0 {
				return 0
			}
			return rapid.IntRange(0, 2).Draw(t, "fault")
		}}
		recorder := &eventKinds{}
		handlers := []*handler{}
		for _, vm := range []string{"vm-1", "vm-2", "vm-3"} {
			h := New(vm, brclock.NewFake(start), store, recorder, log.New(io.Discard)).handler
			handlers = append(handlers, h)
		}
		for i := range 60 {
			for _, h := range handlers {
				proposals := []brmove.Proposal{}
				// The VMs receive the written record with a delay. Until then they continue
				// to propose it.
				if p, ok := brmove.NewGate(start, move).Propose(start).Get(); ok && i < 10 {
					proposals = append(proposals, p)
				}
				h.Update(t.Context(), proposals)
				h.Tick(t.Context(), start.Add(time.Duration(i)*maxWriteDelay))
			}
		}
		require.Equal(t, brconfig.MoveUndone, store.move.State())
		require.Equal(t, []brevent.Kind{brevent.KindMoveUndone}, recorder.kinds)
	})
}
