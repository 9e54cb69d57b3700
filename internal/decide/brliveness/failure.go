package brliveness

import (
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

// RecordMiss records that a VM did not answer a ping.
func (v *View) RecordMiss(now time.Time, name string) {
	r, ok := v.records[name]
	if !ok || r.state == brmember.StateLeft {
		return
	}
	if r.misses == 0 {
		r.missedSince = now
	}
	r.misses++
	if r.misses >= missesToSuspect && r.state != brmember.StateDead && !v.Isolated(now) {
		v.apply(now, brmember.NewChange(name, r.incarnation, brmember.StateSuspected, v.self))
	}
}

// Advance starts a round. It declares suspected VMs dead that did not refute the
// suspicion in time. If this VM was paused since the previous round, unanswered
// pings are forgotten and the time to refute a suspicion starts anew.
func (v *View) Advance(now time.Time) {
	paused := now.Sub(v.lastAdvance) > pauseThreshold
	v.lastAdvance = now
	v.round++
	if paused {
		v.catchUpLeft = len(v.members)
	}
	for _, r := range v.records {
		if paused {
			r.misses = 0
			r.suspectedSince = now
			continue
		}
		if r.state == brmember.StateSuspected && v.suspicionExpired(now, r) {
			v.declareDead(r)
		}
	}
}

// Isolated reports whether this VM has received nothing for isolationTimeout. With
// only one other VM it can't tell which of the two is cut off, and counts as
// connected.
func (v *View) Isolated(now time.Time) bool {
	return len(v.sameDomain)+len(v.otherDomains) > 1 && now.Sub(v.lastHeard) > isolationTimeout
}

func (v *View) suspicionExpired(now time.Time, r *record) bool {
	if len(r.observers) >= observersToDeclareDead {
		return now.Sub(r.suspectedSince) >= refutationTime
	}
	soleObserver := slices.Contains(r.observers, v.self) && r.misses >= missesToSuspect
	return soleObserver && now.Sub(r.missedSince) >= soleObserverTimeout && !v.Isolated(now)
}

func (v *View) declareDead(r *record) {
	r.state = brmember.StateDead
	v.recordChange(r)
}
