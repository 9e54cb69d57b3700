// Package brselector decides which selectors apply to a resource, finds selectors
// that conflict with each other, and splits requests between targets by exact
// fractions.
//
// # Usage
//
//	effects := brselector.Resolve(snapshot, organisation)
//	weights, ok := effects.Get(brconfig.EffectWeights).Get()
//	splitter, err := brselector.NewSplitter(targets, fractions)
//	target, ok := splitter.Next().Get()
package brselector

import (
	"fmt"
	"iter"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// Effects holds the selectors in force for one resource, by kind of effect.
type Effects struct {
	selectors map[brconfig.EffectKind]brconfig.Selector
}

// Get returns the selector in force for a kind of effect, if any.
func (e Effects) Get(kind brconfig.EffectKind) broption.Option[brconfig.Selector] {
	selector, ok := e.selectors[kind]
	return broption.Of(selector, ok)
}

// Resolve returns the selectors in force for a resource: for each kind of effect
// the matching selector with the highest priority, and the first by name where
// priorities are equal.
func Resolve(snapshot *brconfig.Snapshot, resource brconfig.Resource) Effects {
	effects := Effects{selectors: map[brconfig.EffectKind]brconfig.Selector{}}
	for s := range snapshot.Selectors().All() {
		if !s.Matches(resource) {
			continue
		}
		kind := s.Effect().Kind()
		current, ok := effects.selectors[kind]
		if !ok || s.Priority() > current.Priority() {
			effects.selectors[kind] = s
		}
	}
	return effects
}

// ErrConflict is returned if two selectors with the same priority have
// different effects on one resource.
type ErrConflict struct {
	first    string
	second   string
	resource brconfig.Reference
}

// Error returns a message with both selectors and the resource.
func (e ErrConflict) Error() string {
	return fmt.Sprintf("selectors %q and %q have the same priority and disagree about %s", e.first, e.second, e.resource)
}

// Selectors returns the names of the conflicting selectors.
func (e ErrConflict) Selectors() (first, second string) { return e.first, e.second }

// IsErrConflict reports whether err is or wraps ErrConflict.
func IsErrConflict(err error) bool {
	_, ok := errors.Into[ErrConflict](err)
	return ok
}

// CheckConflicts returns ErrConflict if two selectors conflict in the snapshot
// that results from changes. It checks only what the changes affect: changed
// selectors against all resources, and changed resources against all selectors.
func CheckConflicts(next *brconfig.Snapshot, changes []brconfig.Change) error {
	for resource := range affected(next, changes) {
		if err := checkResource(next, resource); err != nil {
			return err
		}
	}
	return nil
}

// affected iterates over the resources whose matching selectors the changes may alter.
func affected(next *brconfig.Snapshot, changes []brconfig.Change) iter.Seq[brconfig.Resource] {
	return func(yield func(brconfig.Resource) bool) {
		selectedKinds := brset.New[brconfig.Kind]()
		for _, c := range changes {
			if s, ok := next.Selectors().Get(c.Reference().Name()).Get(); ok && c.Reference().Kind() == brconfig.KindSelector {
				selectedKinds.Add(s.Selects())
			}
		}
		for kind := range selectedKinds.All() {
			for resource := range next.All(kind) {
				if !yield(resource) {
					return
				}
			}
		}
		for _, c := range changes {
			resource, exists := next.Get(c.Reference()).Get()
			if exists && !selectedKinds.Has(resource.Kind()) && !yield(resource) {
				return
			}
		}
	}
}

func checkResource(snapshot *brconfig.Snapshot, resource brconfig.Resource) error {
	type conflictKey struct {
		kind     brconfig.EffectKind
		priority int
	}
	byPriority := map[conflictKey]brconfig.Selector{}
	for s := range snapshot.Selectors().All() {
		if !s.Matches(resource) {
			continue
		}
		key := conflictKey{kind: s.Effect().Kind(), priority: s.Priority()}
		other, ok := byPriority[key]
		if ok && !other.Effect().Equal(s.Effect()) {
			reference := brconfig.NewReference(resource.Kind(), resource.Name())
			return ErrConflict{first: other.Name(), second: s.Name(), resource: reference}
		}
		byPriority[key] = s
	}
	return nil
}

// Unmatched returns the names of changed selectors that match no resource.
func Unmatched(next *brconfig.Snapshot, changes []brconfig.Change) []string {
	names := []string{}
	for _, c := range changes {
		s, ok := next.Selectors().Get(c.Reference().Name()).Get()
		if c.Reference().Kind() == brconfig.KindSelector && ok && !matchesAny(next, s) {
			names = append(names, s.Name())
		}
	}
	return names
}

func matchesAny(snapshot *brconfig.Snapshot, selector brconfig.Selector) bool {
	for resource := range snapshot.All(selector.Selects()) {
		if selector.Matches(resource) {
			return true
		}
	}
	return false
}
