package brliveness

import (
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

// apply applies a change if it overrides the known state of the VM.
func (v *View) apply(now time.Time, c brmember.Change) {
	if c.Name() == v.self {
		v.refute(c)
		return
	}
	r, ok := v.records[c.Name()]
	if !ok {
		return
	}
	if c.Incarnation() < r.incarnation || c.Incarnation() == r.incarnation && c.State() < r.state {
		v.resend(r, c)
		return
	}
	if c.State() == brmember.StateDead && len(c.Observers()) < observersToDeclareDead {
		c = brmember.NewChange(c.Name(), c.Incarnation(), brmember.StateSuspected, c.Observers()...)
	}
	if c.Incarnation() > r.incarnation {
		v.applyIncarnation(now, r, c)
		return
	}
	v.applyState(now, r, c)
}

// resend queues the known state again to override an outdated change that other VMs
// still pass on.
func (v *View) resend(r *record, c brmember.Change) {
	if c.State() != brmember.StateAlive && !v.outbox.has(c.Name()) {
		v.outbox.put(r.change(), 1)
	}
}

// refute overrides a change about this VM itself with a higher incarnation.
func (v *View) refute(c brmember.Change) {
	if c.Incarnation() == v.incarnation && (c.State() == brmember.StateAlive || v.leaving) {
		return
	}
	if c.Incarnation() < v.incarnation {
		if c.State() != brmember.StateAlive && !v.outbox.has(v.self) {
			v.outbox.put(v.selfChange(), 1)
		}
		return
	}
	v.incarnation = c.Incarnation() + 1
	v.outbox.put(v.selfChange(), len(v.records))
}

// selfChange returns the change by which this VM announces its own state.
func (v *View) selfChange() brmember.Change {
	if v.leaving {
		return brmember.NewChange(v.self, v.incarnation, brmember.StateLeft)
	}
	return brmember.NewChange(v.self, v.incarnation, brmember.StateAlive)
}

// applyIncarnation applies a change with a higher incarnation.
func (v *View) applyIncarnation(now time.Time, r *record, c brmember.Change) {
	isFirst := r.incarnation == 0 && r.state == c.State()
	r.incarnation = c.Incarnation()
	r.state = c.State()
	r.observers = slices.Clone(c.Observers())
	r.suspectedSince = now
	r.misses = 0
	if isFirst {
		v.outbox.put(r.change(), 1)
		return
	}
	v.recordChange(r)
}

// applyState applies a change of the known incarnation, if its state takes
// precedence or it adds observers.
func (v *View) applyState(now time.Time, r *record, c brmember.Change) {
	switch {
	case c.State() > r.state:
		if c.State() == brmember.StateSuspected {
			r.suspectedSince = now
		}
		r.state = c.State()
		v.addObservers(r, c)
		v.recordChange(r)
	case c.State() == brmember.StateSuspected && r.state == brmember.StateSuspected && v.addObservers(r, c):
		v.outbox.put(r.change(), len(v.records))
	}
}

// addObservers adds the observers of a change and reports whether any was new.
func (v *View) addObservers(r *record, c brmember.Change) bool {
	before := len(r.observers)
	for _, o := range c.Observers() {
		if len(r.observers) < observersToDeclareDead && !slices.Contains(r.observers, o) && o != r.member.Name() {
			r.observers = append(slices.Clip(r.observers), o)
		}
	}
	return len(r.observers) > before
}

func (v *View) recordChange(r *record) {
	c := r.change()
	v.outbox.put(c, len(v.records))
	v.events = append(v.events, c)
	v.changed = true
	v.groupByDomain()
}

func (r *record) change() brmember.Change {
	return brmember.NewChange(r.member.Name(), r.incarnation, r.state, r.observers...)
}
