package brcensus

import (
	"maps"
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Notices decides for how long this VM tells of poison requests, and what of
// that which others tell is new. It has one owner.
type Notices struct {
	lifetime time.Duration
	most     int
	told     map[brrequest.PoisonNotice]time.Time // by this VM
	heard    map[brrequest.PoisonNotice]time.Time // seen last in the fleet's standing
}

// NewNotices returns an empty book of notices, of which at most so many are told
// at a time, each for a lifetime.
func NewNotices(lifetime time.Duration, most int) *Notices {
	return &Notices{
		lifetime: lifetime, most: most,
		told: map[brrequest.PoisonNotice]time.Time{}, heard: map[brrequest.PoisonNotice]time.Time{},
	}
}

// Tell takes a notice of this VM; beyond the limit it is left out.
func (n *Notices) Tell(now time.Time, notice brrequest.PoisonNotice) {
	if _, ok := n.told[notice]; !ok && len(n.told) >= n.most {
		return
	}
	n.told[notice] = now
	n.heard[notice] = now
}

// Told returns what this VM tells now, in any order.
func (n *Notices) Told(now time.Time) []brrequest.PoisonNotice {
	n.forget(now, n.told)
	return slices.Collect(maps.Keys(n.told))
}

// forget removes the notices whose lifetime is over.
func (n *Notices) forget(now time.Time, notices map[brrequest.PoisonNotice]time.Time) {
	maps.DeleteFunc(notices, func(_ brrequest.PoisonNotice, at time.Time) bool { return now.Sub(at) > n.lifetime })
}

// News returns what of the fleet's notices this VM has neither told nor heard,
// deaths before what lifts a suspicion.
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

// rank puts notices that lift a suspicion last.
func rank(notice brrequest.PoisonNotice) int {
	if notice.Lifted() {
		return 1
	}
	return 0
}
