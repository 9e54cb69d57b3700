package brconfig

import (
	"fmt"

	"github.com/go-faster/errors"
)

// ErrDangling says that a resource names another that does not exist.
type ErrDangling struct {
	from Reference
	to   Reference
}

// Error names both resources.
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

// ErrKindNotExist says that there are no resources of a kind.
type ErrKindNotExist struct {
	kind Kind
}

// Error names the kind.
func (e ErrKindNotExist) Error() string {
	return fmt.Sprintf("kind %q does not exist", e.kind)
}

// IsErrKindNotExist reports whether err is or wraps ErrKindNotExist.
func IsErrKindNotExist(err error) bool {
	_, ok := errors.Into[ErrKindNotExist](err)
	return ok
}

// ErrClaimed says that two resources have what only one may have.
type ErrClaimed struct {
	claim  Claim
	by     Reference
	holder Reference
}

// Error names the claim and both resources.
func (e ErrClaimed) Error() string {
	return fmt.Sprintf("%s has %s, which %s has already", e.by, e.claim, e.holder)
}

// By returns the resource that was refused.
func (e ErrClaimed) By() Reference { return e.by }

// Holder returns the resource that has the claim.
func (e ErrClaimed) Holder() Reference { return e.holder }

// IsErrClaimed reports whether err is or wraps ErrClaimed.
func IsErrClaimed(err error) bool {
	_, ok := errors.Into[ErrClaimed](err)
	return ok
}
