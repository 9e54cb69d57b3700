// Package brlabel provides the labels that operators put on resources.
//
// # Usage
//
//	labels := brlabel.New(map[string]string{"tier": "gold"})
//	tier := labels.Get("tier").OrElse("none")
package brlabel

import (
	"iter"
	"maps"
	"slices"

	"bergamotroad.example/bergamotroad/internal/core/broption"
)

// Labels is an immutable map from label names to values.
type Labels struct {
	values map[string]string
}

// New returns labels with a copy of the values.
func New(values map[string]string) Labels {
	return Labels{values: maps.Clone(values)}
}

// Get returns the value of a label.
func (l Labels) Get(name string) broption.Option[string] {
	value, ok := l.values[name]
	return broption.Of(value, ok)
}

// Len returns the number of labels.
func (l Labels) Len() int { return len(l.values) }

// All iterates over the labels in ascending order of name.
func (l Labels) All() iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for _, name := range slices.Sorted(maps.Keys(l.values)) {
			if !yield(name, l.values[name]) {
				return
			}
		}
	}
}

// With returns a copy of the labels in which name has the value.
func (l Labels) With(name, value string) Labels {
	values := maps.Clone(l.values)
	if values == nil {
		values = map[string]string{}
	}
	values[name] = value
	return Labels{values: values}
}

// Without returns a copy of the labels without the name.
func (l Labels) Without(name string) Labels {
	values := maps.Clone(l.values)
	delete(values, name)
	return Labels{values: values}
}
