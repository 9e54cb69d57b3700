package brcensus

import (
	"maps"
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Notices decides how long this VM publishes its notices of poison requests, and which
// notices of other VMs are new. It is not safe for concurrent use.
type Notices struct {
	lifetime time.Duration
	most     int
	told     map[brrequest.PoisonNotice]time.Time // published by this VM
	heard    map[brrequest.PoisonNotice]time.Time // last seen in the fleet's aggregate
}

// NewNotices returns a Notices that publishes at most most notices at a time, each for
// the given lifetime.
func NewNotices(lifetime time.Duration, most int) *Notices {
	return &Notices{
		lifetime: lifetime, most: most,
		told: map[brrequest.PoisonNotice]time.Time{}, heard: map[brrequest.PoisonNotice]time.Time{},
	}
}

// Tell adds a notice of this VM to publish. It is dropped if the limit is reached.
func (n *Notices) Tell(now time.Time, notice brrequest.PoisonNotice) {
	if _, ok := n.told[notice]; !ok && len(n.told) >= n.most {
		return
	}
	n.told[notice] = now
	n.heard[notice] = now
}

// Told returns the notices that this VM publishes now, in any order.
func (n *Notices) Told(now time.Time) []brrequest.PoisonNotice {
	n.forget(now, n.told)
	return slices.Collect(maps.Keys(n.told))
}

// forget removes the notices whose lifetime has passed.
func (n *Notices) forget(now time.Time, notices map[brrequest.PoisonNotice]time.Time) {
	maps.DeleteFunc(notices, func(_ brrequest.PoisonNotice, at time.Time) bool { return now.Sub(at) > n.lifetime })
}

// News returns those of the fleet's notices that this VM has neither published nor seen.
// Notices of server deaths come before those that lift a suspicion.
func (n *Notices) News(now time.Time, fleet []brrequest.PoisonNotice) []brrequest.PoisonNotice {
	news := []brrequest.PoisonNotice{}
	for _, notice := range fleet {
		if _, known := n.heard[notice]; !known {
			news = append(news, notice)
		}
		n.heard[notice] = now
	}
	n.forget(now, n.heard)
	slices.SortStableFunc(news, func(a, b brrequest.PoisonNotice) int { return rank(a) - rank(b) })
	return news
}

// rank sorts notices that lift a suspicion last.
func rank(notice brrequest.PoisonNotice) int {
	if notice.Lifted() {
		return 1
	}
	return 0
}
