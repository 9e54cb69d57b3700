// Package brset provides a set of small comparable values.
//
// # Usage
//
//	regions := brset.New("este", "litoral")
//	if regions.Has("este") {
//		regions.Remove("este")
//	}
//
// The zero Set is empty and can be added to. A Set has one owner; it is not
// safe for use by several goroutines at once.
package brset

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Set is a set of values.
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

// Add puts a value into the set and reports whether it was new.
func (s *Set[T]) Add(value T) bool {
	if s.values == nil {
		s.values = map[T]struct{}{}
	}
	_, had := s.values[value]
	s.values[value] = struct{}{}
	return !had
}

// Remove takes a value out of the set and reports whether it was there.
func (s *Set[T]) Remove(value T) bool {
	_, had := s.values[value]
	delete(s.values, value)
	return had
}

// Has reports whether the value is in the set.
func (s Set[T]) Has(value T) bool {
	_, had := s.values[value]
	return had
}

// Len returns the number of values.
func (s Set[T]) Len() int {
	return len(s.values)
}

// All iterates over the values in no particular order.
func (s Set[T]) All() iter.Seq[T] {
	return maps.Keys(s.values)
}

// Sorted returns the values of a set in ascending order.
func Sorted[T cmp.Ordered](s Set[T]) []T {
	return slices.Sorted(s.All())
}
