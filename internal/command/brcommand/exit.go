package brcommand

import "bergamotroad.example/bergamotroad/internal/peer/bradmin"

// Exit codes of the program.
const (
	exitSuccess     = 0
	exitFailure     = 1
	exitRefused     = 2 // the change is wrong
	exitConflict    = 3 // another change came first
	exitDenied      = 4 // no right to it
	exitUnavailable = 5 // nothing was done; try later
	exitUnknown     = 6 // it may have been done; ask for the operation
	exitNotExist    = 7
)

func exitCodeOf(err error) int {
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
	case bradmin.IsErrRefused(err):
		return exitRefused
	default:
		return exitFailure
	}
}
