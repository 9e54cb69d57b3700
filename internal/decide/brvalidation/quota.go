package brvalidation

import (
	"fmt"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// ErrQuotaExceeded is returned when a change would exceed a team's resource quota.
type ErrQuotaExceeded struct {
	team  string
	owned int
	limit int
}

// Error returns a message with the team, its resource count after the change and
// its limit.
func (e ErrQuotaExceeded) Error() string {
	return fmt.Sprintf("team %q would own %d resources, exceeding its limit of %d", e.team, e.owned, e.limit)
}

// IsErrQuotaExceeded reports whether err is or wraps ErrQuotaExceeded.
func IsErrQuotaExceeded(err error) bool {
	_, ok := errors.Into[ErrQuotaExceeded](err)
	return ok
}

// CheckQuotas returns ErrQuotaExceeded if the changes increase the number of resources of a
// team beyond its limit. A team that already exceeds its limit, for example
// because the limit was lowered, can still update and delete resources.
func CheckQuotas(previous, next *brconfig.Snapshot, changes []brconfig.Change) error {
	teams := brset.New[string]()
	for _, c := range changes {
		if resource, isPut := c.Resource().Get(); isPut {
			teams.Add(resource.Team())
		}
	}
	for _, name := range brset.Sorted(teams) {
		team, ok := next.Teams().Get(name).Get()
		owned := next.CountOwnedBy(name)
		if ok && owned > previous.CountOwnedBy(name) && owned > team.MaxObjects() {
			return ErrQuotaExceeded{team: name, owned: owned, limit: team.MaxObjects()}
		}
	}
	return nil
}
