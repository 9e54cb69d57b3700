package braccess

import (
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// ErrLockout is returned when a change would leave the configuration with tokens
// but without an administrator of the platform team, so that nobody could issue
// tokens for that team.
type ErrLockout struct{}

// Error implements error.
func (ErrLockout) Error() string {
	return "at least one of the remaining tokens must have the administrator role in the platform team"
}

// IsErrLockout reports whether err is or wraps ErrLockout.
func IsErrLockout(err error) bool {
	_, ok := errors.Into[ErrLockout](err)
	return ok
}

// CheckLockout returns ErrLockout if the changes include tokens and the resulting
// snapshot has tokens but no administrator of the platform team. A configuration
// without any tokens is allowed, since the bootstrap token is valid for it.
func CheckLockout(next *brconfig.Snapshot, changes []brconfig.Change) error {
	changesTokens := false
	for _, c := range changes {
		changesTokens = changesTokens || c.Reference().Kind() == brconfig.KindToken
	}
	if !changesTokens || next.Tokens().Len() == 0 {
		return nil
	}
	for t := range next.Tokens().All() {
		if t.Team() == "" && t.Role() == brconfig.RoleAdministrator {
			return nil
		}
	}
	return ErrLockout{}
}
