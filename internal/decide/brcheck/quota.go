package brcheck

import (
	"fmt"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// ErrTooMany says that a team would own more resources than it may.
type ErrTooMany struct {
	team  string
	owned int
	limit int
}

// Error names the team, what it would own and its limit.
func (e ErrTooMany) Error() string {
	return fmt.Sprintf("team %q would own %d resources, its limit is %d", e.team, e.owned, e.limit)
}

// IsErrTooMany reports whether err is or wraps ErrTooMany.
func IsErrTooMany(err error) bool {
	_, ok := errors.Into[ErrTooMany](err)
	return ok
}

// Quotas returns ErrTooMany where changes leave a team with more resources than
// before and more than its limit.
func Quotas(previous, next *brconfig.Snapshot, changes []brconfig.Change) error {
	teams := brset.New[string]()
	for _, c := range changes {
		if resource, isPut := c.Resource().Get(); isPut {
			teams.Add(resource.Team())
		}
	}
	for _, name := range brset.Sorted(teams) {
		team, ok := next.Teams().Get(name).Get()
		owned := next.Owned(name)
		if ok && owned > previous.Owned(name) && owned > team.MaxObjects() {
			return ErrTooMany{team: name, owned: owned, limit: team.MaxObjects()}
		}
	}
	return nil
}
