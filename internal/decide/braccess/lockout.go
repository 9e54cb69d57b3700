package braccess

import (
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// ErrLockout says that a change would leave tokens of which none may grant others
// for the platform.
type ErrLockout struct{}

// Error returns the message.
func (ErrLockout) Error() string {
	return "tokens would be left, but none of an administrator of the platform"
}

// IsErrLockout reports whether err is or wraps ErrLockout.
func IsErrLockout(err error) bool {
	_, ok := errors.Into[ErrLockout](err)
	return ok
}

// CheckLockout returns ErrLockout where changes of tokens lead to a snapshot that
// has tokens and no administrator of the platform.
func CheckLockout(next *brconfig.Snapshot, changes []brconfig.Change) error {
	isTouched := false
	for _, c := range changes {
		isTouched = isTouched || c.Reference().Kind() == brconfig.KindToken
	}
	if !isTouched || next.Tokens().Len() == 0 {
		return nil
	}
	for t := range next.Tokens().All() {
		if t.Team() == "" && t.Role() == brconfig.RoleAdministrator {
			return nil
		}
	}
	return ErrLockout{}
}
