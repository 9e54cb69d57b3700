// Package broption provides an optional value without pointers or sentinel values.
//
// # Usage
//
//	server := table.Get("lookup-3")
//	if s, ok := server.Get(); ok {
//		use(s)
//	}
//	limit := broption.Some(30).OrElse(10)
package broption

// Option is an optional value. The zero Option has no value.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns an option with the given value.
func Some[T any](value T) Option[T] {
	return Option[T]{value: value, present: true}
}

// None returns an option without a value.
func None[T any]() Option[T] {
	return Option[T]{}
}

// Of converts a value and a presence flag, such as the results of a map lookup, to
// an option. The value is ignored if present is false.
func Of[T any](value T, present bool) Option[T] {
	if !present {
		return None[T]()
	}
	return Some(value)
}

// Get returns the value and true, or the zero value and false if there is none.
func (o Option[T]) Get() (T, bool) {
	return o.value, o.present
}

// IsPresent reports whether the option has a value.
func (o Option[T]) IsPresent() bool {
	return o.present
}

// OrElse returns the value, or other if there is none.
func (o Option[T]) OrElse(other T) T {
	if o.present {
		return o.value
	}
	return other
}
