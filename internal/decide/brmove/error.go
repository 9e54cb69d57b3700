package brmove

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// ErrInfeasible is returned for a move that can't be carried out as configured.
type ErrInfeasible struct {
	move   string
	reason string
}

// Error names the move and the reason.
func (e ErrInfeasible) Error() string { return fmt.Sprintf("move %q: %s", e.move, e.reason) }

// IsErrInfeasible reports whether err is or wraps ErrInfeasible.
func IsErrInfeasible(err error) bool {
	_, ok := errors.Into[ErrInfeasible](err)
	return ok
}

// CheckChanges returns ErrInfeasible if a planned move among the changes can't
// finish by its end time, or if its service lacks a server of one of the versions.
func CheckChanges(now time.Time, next *brconfig.Snapshot, changes []brconfig.Change) error {
	for _, change := range changes {
		resource, _ := change.Resource().Get()
		move, ok := resource.(brconfig.Move)
		if !ok || move.State() != brconfig.MovePlanned {
			continue
		}
		if err := checkMove(now, next, move); err != nil {
			return err
		}
	}
	return nil
}

// checkMove returns ErrInfeasible if the move can't finish by its end time or a version
// has no server.
func checkMove(now time.Time, next *brconfig.Snapshot, move brconfig.Move) error {
	start := move.Start()
	if start.Before(now) {
		start = now
	}
	if minimum := MinDuration(move.Cap()); move.Deadline().Sub(start) < minimum {
		return ErrInfeasible{move: move.Name(), reason: fmt.Sprintf("its steps take at least %s", minimum)}
	}
	for _, version := range []string{move.From(), move.To()} {
		if !hasServer(next, move.Service(), version) {
			return ErrInfeasible{move: move.Name(), reason: fmt.Sprintf("service %q has no server of version %q", move.Service(), version)}
		}
	}
	return nil
}

// hasServer reports whether a service has a server of a version.
func hasServer(snapshot *brconfig.Snapshot, service, version string) bool {
	for s := range snapshot.Servers().All() {
		if s.Service() == service && s.Version() == version {
			return true
		}
	}
	return false
}
