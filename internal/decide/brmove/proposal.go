package brmove

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// Proposal is a change of a move's state, based on a certain record of the move.
type Proposal struct {
	base   brconfig.Move
	state  brconfig.MoveState
	step   int
	reason string
}

func propose(base brconfig.Move, state brconfig.MoveState, step int, reason string) Proposal {
	return Proposal{base: base, state: state, step: step, reason: reason}
}

// Base returns the record that the proposal is based on.
func (p Proposal) Base() brconfig.Move { return p.base }

// Name returns the name of the move.
func (p Proposal) Name() string { return p.base.Name() }

// State returns the proposed state.
func (p Proposal) State() brconfig.MoveState { return p.state }

// Step returns the proposed step.
func (p Proposal) Step() int { return p.step }

// Reason returns why the state is proposed, or "".
func (p Proposal) Reason() string { return p.reason }

// Final reports whether the proposal ends the move.
func (p Proposal) Final() bool {
	return p.state == brconfig.MoveDone || p.state == brconfig.MoveUndone
}

// Apply returns the next record for the record that the configuration holds, or
// none if that does not allow the proposal any more. A move that has ended stays
// ended, and a step follows only the step that was proved. A move may be undone at
// any step, but may not be finished shortly before its end time.
func (p Proposal) Apply(now time.Time, current brconfig.Move) broption.Option[brconfig.Move] {
	if p.state == brconfig.MoveDone && current.Deadline().Sub(now) < finishMargin {
		return broption.None[brconfig.Move]()
	}
	matchesBase := current.State() == p.base.State() && current.Step() == p.base.Step() && isSamePlan(current, p.base)
	mayUndo := p.state == brconfig.MoveUndone && isOpen(current) && isSamePlan(current, p.base)
	if !isOpen(current) || (!matchesBase && !mayUndo) {
		return broption.None[brconfig.Move]()
	}
	return broption.Some(current.WithState(p.state, p.step, p.reason))
}

// isSamePlan reports whether two records agree in all fields that an operator sets.
func isSamePlan(a, b brconfig.Move) bool {
	return a.Service() == b.Service() && a.From() == b.From() && a.To() == b.To() &&
		a.Cap().Compare(b.Cap()) == 0 && a.Start().Equal(b.Start()) && a.Deadline().Equal(b.Deadline())
}

// KeepStates returns the changes of an operator, with the current state of each
// move whose plan is unchanged, so that applying a file again does not restart a
// move.
func KeepStates(current *brconfig.Snapshot, changes []brconfig.Change) []brconfig.Change {
	kept := make([]brconfig.Change, 0, len(changes))
	for _, change := range changes {
		kept = append(kept, keepState(current, change))
	}
	return kept
}

func keepState(current *brconfig.Snapshot, change brconfig.Change) brconfig.Change {
	resource, _ := change.Resource().Get()
	move, ok := resource.(brconfig.Move)
	if !ok || move.State() != brconfig.MovePlanned {
		return change
	}
	old, exists := current.Moves().Get(move.Name()).Get()
	if !exists || !isSamePlan(old, move) {
		return change
	}
	return brconfig.Put(move.WithState(old.State(), old.Step(), old.Reason()))
}
