package brcommand

import (
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/peer/bradmin"
)

// Exit codes of the program.
const (
	exitSuccess     = 0
	exitFailure     = 1
	exitRefused     = 2 // the change is invalid
	exitConflict    = 3 // a resource changed in the meantime
	exitDenied      = 4 // the token does not permit it
	exitUnavailable = 5 // nothing was changed; retry later
	exitUnknown     = 6 // the change may have been applied; look up its operation
	exitNotExist    = 7 // the resource does not exist
)

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	switch {
	case err == nil:
		return exitSuccess
	case bradmin.IsErrOutcomeUnknown(err):
		return exitUnknown
	case bradmin.IsErrConflict(err):
		return exitConflict
	case bradmin.IsErrDenied(err):
		return exitDenied
	case bradmin.IsErrUnavailable(err):
		return exitUnavailable
	case bradmin.IsErrNotExist(err):
		return exitNotExist
	case bradmin.IsErrRefused(err), errors.Is(err, errInvalidConfiguration):
		return exitRefused
	default:
		return exitFailure
	}
}
