// Package brmove decides how a service moves from one version to another.
//
// Each VM has a gate for each move. The gate counts the requests that the VM places
// and lets at most the fraction of the current step go to the new version. The
// fraction is rounded down on each VM, so that the total of all VMs stays within
// it, too. The gate compares the versions on each route by the outcomes that the VM
// observes, and stops requests to the new version immediately if it is worse. It
// proposes the next step after the new version has run enough requests in the
// current one.
//
// The state of a move is stored in the configuration. From the end time of a move
// on, each VM treats a move that is not recorded as done as undone, without
// contacting any other VM.
//
// # Usage
//
//	gate := brmove.NewGate(now, move)
//	versions := gate.Choose(now, "lookup")
//	gate.RecordPlacement("lookup")
//	gate.Observe(now, "v2", outcome)
//	proposal, ok := gate.Propose(now).Get()
package brmove

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/decide/brselector"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Gate decides which version runs each request of a service. It is not safe for
// concurrent use.
type Gate struct {
	move       brconfig.Move
	caps       map[string]*brselector.Cap // of the current step, by route
	stepStart  time.Time                  // start of the step on this VM
	decayedAt  time.Time
	routes     map[string]*comparison
	stopReason string // why the new version gets no requests, or ""
}

// NewGate returns the gate of a move.
func NewGate(now time.Time, move brconfig.Move) *Gate {
	return &Gate{move: move, stepStart: now, decayedAt: now, caps: map[string]*brselector.Cap{}, routes: map[string]*comparison{}}
}

// newCap returns the cap of the move's current step, or nil if the move is not
// running.
func newCap(move brconfig.Move) *brselector.Cap {
	if move.State() != brconfig.MoveRunning {
		return nil
	}
	steps := Steps(move.Cap())
	limit, err := brselector.NewCap(steps[min(move.Step(), len(steps)-1)])
	if err != nil {
		return nil
	}
	return limit
}

// Update sets a newer record of the move. It keeps the outcomes of the
// versions, but a new step needs new outcomes to be proved.
func (g *Gate) Update(now time.Time, move brconfig.Move) {
	reopens := !isOpen(g.move) && isOpen(move)
	if reopens || move.From() != g.move.From() || move.To() != g.move.To() {
		*g = *NewGate(now, move)
		return
	}
	isUnchanged := move.State() == g.move.State() && move.Step() == g.move.Step() && move.Cap().Compare(g.move.Cap()) == 0
	g.move = move
	if isUnchanged {
		return
	}
	clear(g.caps)
	g.stepStart = now
	for _, c := range g.routes {
		c.stepOutcomes = 0
	}
}

// Move returns the record of the move.
func (g *Gate) Move() brconfig.Move { return g.move }

// StopReason returns why the VM has stopped requests to the new version, or "".
func (g *Gate) StopReason() string { return g.stopReason }

// capOf returns the cap of a route, or nil if the move is not running. Each route
// has its own count, so that each gets its fraction in whichever order the requests
// of the routes arrive. Since the fractions are rounded down, their sum does not
// exceed the fraction of all requests.
func (g *Gate) capOf(route string) *brselector.Cap {
	limit, ok := g.caps[route]
	if !ok {
		limit = newCap(g.move)
		g.caps[route] = limit
	}
	return limit
}

// RecordPlacement counts one request of a route that was placed on a server. If a
// request could have gone to the new version but did not, this is not compensated
// later.
func (g *Gate) RecordPlacement(route string) {
	if limit := g.capOf(route); limit != nil {
		limit.Admit()
	}
}

// Choose returns the versions that may run the next request of a route, in order of
// preference. It does not count the request: one that finds no server must not
// increase the number of requests that the new version may get.
func (g *Gate) Choose(now time.Time, route string) []string {
	if g.move.State() == brconfig.MoveDone {
		return []string{g.move.To()}
	}
	limit := g.capOf(route)
	if limit != nil && limit.Allows() && g.stopReason == "" && now.Before(g.move.Deadline()) {
		return []string{g.move.To(), g.move.From()}
	}
	return []string{g.move.From()}
}

// Observe records the outcome of a request that a version ran. It ignores requests that were
// shed, which show nothing about the version, and cancelled ones, unless the server had them
// for longer than the old version usually takes.
func (g *Gate) Observe(now time.Time, version string, outcome brrequest.Outcome) {
	if !isOpen(g.move) || !g.isRelevant(outcome) {
		return
	}
	g.decay(now)
	c, ok := g.routes[outcome.Route()]
	if !ok {
		c = &comparison{}
		g.routes[outcome.Route()] = c
	}
	switch version {
	case g.move.From():
		c.baseline.observe(outcome)
	case g.move.To():
		c.candidate.observe(outcome)
		if outcome.Kind() != brrequest.OutcomeCancelled {
			c.stepOutcomes++
		}
		g.stopIfWorse(outcome.Route(), c)
	}
}

// isRelevant reports whether an outcome shows something about the version.
func (g *Gate) isRelevant(outcome brrequest.Outcome) bool {
	if outcome.Kind() == brrequest.OutcomeCancelled {
		c, ok := g.routes[outcome.Route()]
		return ok && outcome.Fate() != brrequest.FateNotRun && c.isOverdue(outcome.Latency())
	}
	return isFault(outcome.Kind()) || outcome.Kind() == brrequest.OutcomeAnswered
}

// decay reduces the weight of old outcomes once per decayInterval.
func (g *Gate) decay(now time.Time) {
	if now.Sub(g.decayedAt) < decayInterval {
		return
	}
	g.decayedAt = now
	for _, c := range g.routes {
		c.baseline.decay()
		c.candidate.decay()
	}
}

// stopIfWorse stops requests to the new version if it is worse on a route.
func (g *Gate) stopIfWorse(route string, c *comparison) {
	if regression := c.regression(); regression != "" && g.stopReason == "" {
		g.stopReason = regression + " on route " + route
	}
}

// Propose returns the next change of the move, if one is due.
func (g *Gate) Propose(now time.Time) broption.Option[Proposal] {
	switch {
	case !isOpen(g.move) || now.Before(g.move.Start()):
		return broption.None[Proposal]()
	case !now.Before(g.move.Deadline()):
		return broption.Some(propose(g.move, brconfig.MoveUndone, g.move.Step(), "not finished by its time"))
	case g.stopReason != "":
		return broption.Some(propose(g.move, brconfig.MoveUndone, g.move.Step(), g.stopReason))
	case g.move.State() == brconfig.MovePlanned:
		return broption.Some(propose(g.move, brconfig.MoveRunning, 0, ""))
	case !g.isStepProved(now):
		return broption.None[Proposal]()
	default:
		return g.advance(now)
	}
}

// advance proposes the next step, or the end of the move after the last one.
func (g *Gate) advance(now time.Time) broption.Option[Proposal] {
	if g.move.Step()+1 < len(Steps(g.move.Cap())) {
		return broption.Some(propose(g.move, brconfig.MoveRunning, g.move.Step()+1, ""))
	}
	if g.move.Deadline().Sub(now) < finishMargin {
		return broption.None[Proposal]()
	}
	return broption.Some(propose(g.move, brconfig.MoveDone, g.move.Step(), "all steps proved"))
}

// isStepProved reports whether the new version has run enough requests of each route
// that has traffic. Without new outcomes the move stays in its step.
func (g *Gate) isStepProved(now time.Time) bool {
	if now.Sub(g.stepStart) < minStepDuration || len(g.routes) == 0 {
		return false
	}
	isLast := g.move.Step()+1 >= len(Steps(g.move.Cap()))
	proved := false
	for _, c := range g.routes {
		if c.stepOutcomes < c.requiredOutcomes(isLast) {
			return false
		}
		proved = proved || c.stepOutcomes >= minStepOutcomes
	}
	return proved
}
