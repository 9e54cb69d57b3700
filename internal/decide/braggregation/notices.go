package braggregation

import (
	"maps"
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Notices holds the notices of poison requests that this VM publishes, each for a limited
// time, and those that it has seen in the fleet's aggregate. It is not safe for
// concurrent use.
type Notices struct {
	lifetime     time.Duration
	maxPublished int
	published    map[brrequest.PoisonNotice]time.Time // published by this VM
	lastSeen     map[brrequest.PoisonNotice]time.Time // last seen in the fleet's aggregate
}

// NewNotices returns a Notices that publishes at most maxPublished notices at a time,
// each for the given lifetime.
func NewNotices(lifetime time.Duration, maxPublished int) *Notices {
	return &Notices{
		lifetime: lifetime, maxPublished: maxPublished,
		published: map[brrequest.PoisonNotice]time.Time{}, lastSeen: map[brrequest.PoisonNotice]time.Time{},
	}
}

// Publish adds a notice of this VM. The notice is dropped if maxPublished notices are
// published already.
func (n *Notices) Publish(now time.Time, notice brrequest.PoisonNotice) {
	if _, ok := n.published[notice]; !ok && len(n.published) >= n.maxPublished {
		return
	}
	n.published[notice] = now
	n.lastSeen[notice] = now
}

// Published returns the notices that this VM publishes now, in any order.
func (n *Notices) Published(now time.Time) []brrequest.PoisonNotice {
	n.removeExpired(now, n.published)
	return slices.Collect(maps.Keys(n.published))
}

// removeExpired removes the notices whose lifetime has passed.
func (n *Notices) removeExpired(now time.Time, notices map[brrequest.PoisonNotice]time.Time) {
	maps.DeleteFunc(notices, func(_ brrequest.PoisonNotice, at time.Time) bool { return now.Sub(at) > n.lifetime })
}

// Unseen returns those of the fleet's notices that this VM has neither published nor seen.
// Notices of crashes come before those that lift a suspicion.
func (n *Notices) Unseen(now time.Time, fleet []brrequest.PoisonNotice) []brrequest.PoisonNotice {
	unseen := []brrequest.PoisonNotice{}
	for _, notice := range fleet {
		if _, seen := n.lastSeen[notice]; !seen {
			unseen = append(unseen, notice)
		}
		n.lastSeen[notice] = now
	}
	n.removeExpired(now, n.lastSeen)
	slices.SortStableFunc(unseen, func(a, b brrequest.PoisonNotice) int { return rank(a) - rank(b) })
	return unseen
}

// rank sorts notices that lift a suspicion last.
func rank(notice brrequest.PoisonNotice) int {
	if notice.Lifted() {
		return 1
	}
	return 0
}
