package brobservation

import (
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

// Miss records that a VM did not answer a ping.
func (v *View) Miss(now time.Time, name string) {
	r, ok := v.records[name]
	if !ok || r.state == brmember.StateLeft {
		return
	}
	if r.misses == 0 {
		r.missedSince = now
	}
	r.misses++
	if r.misses >= missesToSuspect && r.state != brmember.StateDead && !v.Isolated(now) {
		v.take(now, brmember.NewChange(name, r.incarnation, brmember.StateSuspected, v.self))
	}
}

// Advance starts a round. It declares VMs dead whose suspicion was not refuted
// in time. If this VM was paused since the previous round, all periods start
// anew.
func (v *View) Advance(now time.Time) {
	paused := now.Sub(v.lastAdvance) > pauseTime
	v.lastAdvance = now
	v.round++
	if paused {
		v.catchUp = len(v.members)
	}
	for _, r := range v.records {
		if paused {
			r.misses = 0
			r.since = now
			continue
		}
		if r.state == brmember.StateSuspected && v.overdue(now, r) {
			v.bury(r)
		}
	}
}

// Isolated reports whether this VM has received nothing for silenceTime. With
// only one other VM it can't tell which of the two is cut off, and counts as
// connected.
func (v *View) Isolated(now time.Time) bool {
	return len(v.near)+len(v.far) > 1 && now.Sub(v.lastHeard) > silenceTime
}

func (v *View) overdue(now time.Time, r *record) bool {
	if len(r.observers) >= observersToBury {
		return now.Sub(r.since) >= refutationTime
	}
	alone := slices.Contains(r.observers, v.self) && r.misses >= missesToSuspect
	return alone && now.Sub(r.missedSince) >= lonelyTimeout && !v.Isolated(now)
}

func (v *View) bury(r *record) {
	r.state = brmember.StateDead
	v.note(r)
}
