// Package brset provides a generic set of comparable values.
//
// # Usage
//
//	regions := brset.New("este", "litoral")
//	if regions.Has("este") {
//		regions.Remove("este")
//	}
//
// The zero Set is an empty set ready to use. A Set is not safe for concurrent use.
// Copies of a non-zero Set share their values.
package brset

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Set is an unordered collection of distinct values.
type Set[T comparable] struct {
	values map[T]struct{}
}

// New returns a set of the given values.
func New[T comparable](values ...T) Set[T] {
	s := Set[T]{values: make(map[T]struct{}, len(values))}
	for _, v := range values {
		s.values[v] = struct{}{}
	}
	return s
}

// Add adds a value and reports whether it was absent before.
func (s *Set[T]) Add(value T) bool {
	if s.values == nil {
		s.values = map[T]struct{}{}
	}
	_, exists := s.values[value]
	s.values[value] = struct{}{}
	return !exists
}

// Remove removes a value and reports whether it was present.
func (s *Set[T]) Remove(value T) bool {
	_, exists := s.values[value]
	delete(s.values, value)
	return exists
}

// Has reports whether the value is in the set.
func (s Set[T]) Has(value T) bool {
	_, exists := s.values[value]
	return exists
}

// Len returns the number of values.
func (s Set[T]) Len() int {
	return len(s.values)
}

// All returns an iterator over the values in unspecified order.
func (s Set[T]) All() iter.Seq[T] {
	return maps.Keys(s.values)
}

// Sorted returns the values of a set in ascending order.
func Sorted[T cmp.Ordered](s Set[T]) []T {
	return slices.Sorted(s.All())
}
