// Package broption provides a value that may be absent.
//
// # Usage
//
//	server := table.Get("lookup-3")
//	if s, ok := server.Get(); ok {
//		use(s)
//	}
//	limit := broption.Some(30).OrElse(10)
package broption

// Option holds a value or none. The zero Option holds none.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns an option that holds the value.
func Some[T any](value T) Option[T] {
	return Option[T]{value: value, present: true}
}

// None returns an option without a value.
func None[T any]() Option[T] {
	return Option[T]{}
}

// Of returns an option from a value and a report of its presence.
func Of[T any](value T, present bool) Option[T] {
	if !present {
		return None[T]()
	}
	return Some(value)
}

// Get returns the value and whether there is one.
func (o Option[T]) Get() (T, bool) {
	return o.value, o.present
}

// IsPresent reports whether there is a value.
func (o Option[T]) IsPresent() bool {
	return o.present
}

// OrElse returns the value, or the given one if there is none.
func (o Option[T]) OrElse(other T) T {
	if o.present {
		return o.value
	}
	return other
}
