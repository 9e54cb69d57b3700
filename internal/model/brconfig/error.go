package brconfig

import (
	"fmt"

	"github.com/go-faster/errors"
)

// ErrDangling is returned when a resource refers to another that does not exist.
type ErrDangling struct {
	from Reference
	to   Reference
}

// Error implements the error interface.
func (e ErrDangling) Error() string {
	return fmt.Sprintf("%s refers to %s, which does not exist", e.from, e.to)
}

// From returns the resource that holds the reference.
func (e ErrDangling) From() Reference { return e.from }

// To returns the resource that does not exist.
func (e ErrDangling) To() Reference { return e.to }

// IsErrDangling reports whether err is or wraps ErrDangling.
func IsErrDangling(err error) bool {
	_, ok := errors.Into[ErrDangling](err)
	return ok
}

// ErrKindNotExist is returned for an unknown resource kind.
type ErrKindNotExist struct {
	kind Kind
}

// Error implements the error interface.
func (e ErrKindNotExist) Error() string {
	return fmt.Sprintf("kind %q does not exist", e.kind)
}

// IsErrKindNotExist reports whether err is or wraps ErrKindNotExist.
func IsErrKindNotExist(err error) bool {
	_, ok := errors.Into[ErrKindNotExist](err)
	return ok
}

// ErrNotUnique is returned when two resources have the same unique value.
type ErrNotUnique struct {
	value    UniqueValue
	resource Reference
	owner    Reference
}

// Error implements the error interface.
func (e ErrNotUnique) Error() string {
	return fmt.Sprintf("%s has %s, which %s already has", e.resource, e.value, e.owner)
}

// Resource returns the resource that was refused.
func (e ErrNotUnique) Resource() Reference { return e.resource }

// Owner returns the resource that already has the value.
func (e ErrNotUnique) Owner() Reference { return e.owner }

// IsErrNotUnique reports whether err is or wraps ErrNotUnique.
func IsErrNotUnique(err error) bool {
	_, ok := errors.Into[ErrNotUnique](err)
	return ok
}
