package brobservation

import (
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

// take applies a change, if it overrides what is known.
func (v *View) take(now time.Time, c brmember.Change) {
	if c.Name() == v.self {
		v.refute(c)
		return
	}
	r, ok := v.records[c.Name()]
	if !ok {
		return
	}
	if c.Incarnation() < r.incarnation || c.Incarnation() == r.incarnation && c.State() < r.state {
		v.correct(r, c)
		return
	}
	if c.State() == brmember.StateDead && len(c.Observers()) < observersToBury {
		c = brmember.NewChange(c.Name(), c.Incarnation(), brmember.StateSuspected, c.Observers()...)
	}
	if c.Incarnation() > r.incarnation {
		v.renew(now, r, c)
		return
	}
	v.override(now, r, c)
}

// correct sends the known state again to override an outdated change that is
// still being spread.
func (v *View) correct(r *record, c brmember.Change) {
	if c.State() != brmember.StateAlive && !v.outbox.holds(c.Name()) {
		v.outbox.put(r.change(), 1)
	}
}

// refute overrides a change about this VM itself with a higher incarnation.
func (v *View) refute(c brmember.Change) {
	if c.Incarnation() == v.incarnation && (c.State() == brmember.StateAlive || v.leaving) {
		return
	}
	if c.Incarnation() < v.incarnation {
		if c.State() != brmember.StateAlive && !v.outbox.holds(v.self) {
			v.outbox.put(v.own(), 1)
		}
		return
	}
	v.incarnation = c.Incarnation() + 1
	v.outbox.put(v.own(), len(v.records))
}

// own returns the change that this VM spreads about itself.
func (v *View) own() brmember.Change {
	if v.leaving {
		return brmember.NewChange(v.self, v.incarnation, brmember.StateLeft)
	}
	return brmember.NewChange(v.self, v.incarnation, brmember.StateAlive)
}

// renew applies a change with a higher incarnation.
func (v *View) renew(now time.Time, r *record, c brmember.Change) {
	first := r.incarnation == 0 && r.state == c.State()
	r.incarnation = c.Incarnation()
	r.state = c.State()
	r.observers = slices.Clone(c.Observers())
	r.since = now
	r.misses = 0
	if first {
		v.outbox.put(r.change(), 1)
		return
	}
	v.note(r)
}

// override applies a change of the known incarnation, if its state takes
// precedence or it adds observers.
func (v *View) override(now time.Time, r *record, c brmember.Change) {
	switch {
	case c.State() > r.state:
		if c.State() == brmember.StateSuspected {
			r.since = now
		}
		r.state = c.State()
		v.merge(r, c)
		v.note(r)
	case c.State() == brmember.StateSuspected && r.state == brmember.StateSuspected && v.merge(r, c):
		v.outbox.put(r.change(), len(v.records))
	}
}

// merge adds the observers of a change and reports whether any was new.
func (v *View) merge(r *record, c brmember.Change) bool {
	before := len(r.observers)
	for _, o := range c.Observers() {
		if len(r.observers) < observersToBury && !slices.Contains(r.observers, o) && o != r.member.Name() {
			r.observers = append(slices.Clip(r.observers), o)
		}
	}
	return len(r.observers) > before
}

func (v *View) note(r *record) {
	c := r.change()
	v.outbox.put(c, len(v.records))
	v.events = append(v.events, c)
	v.changed = true
	v.regroup()
}

func (r *record) change() brmember.Change {
	return brmember.NewChange(r.member.Name(), r.incarnation, r.state, r.observers...)
}
