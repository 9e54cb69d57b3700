package brobservation

import (
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

// Miss takes that a VM did not answer.
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

// Advance starts a round: it buries VMs whose suspicion was not refuted. After
// a pause of this VM all periods start anew.
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

// Isolated reports whether this VM has heard nobody for a while. A VM that
// knows one other only can't tell which of both is cut off.
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
