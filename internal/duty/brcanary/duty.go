// Package brcanary provides the duty that evaluates rollouts: which share of the
// requests a new version gets, and whether the rollout has succeeded or is rolled
// back.
//
// Each VM decides on its own from the responses of the whole fleet. The first VM by rank
// in the list of members writes the result to the store; the others write it only if
// it is still missing after a delay.
//
// # Usage
//
//	controller := brcanary.New(clock, self, bounds, replicator, aggregator, assigner, recorder, journal)
//	group.Start(controller.Duty())
package brcanary

import (
	"context"
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/decide/brrollout"
	"bergamotroad.example/bergamotroad/internal/duty/braggregator"
	"bergamotroad.example/bergamotroad/internal/duty/brassignment"
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/duty/brreplicator"
	"bergamotroad.example/bergamotroad/internal/duty/brresult"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
)

const (
	// evaluationPeriod is the interval between evaluations.
	evaluationPeriod = 200 * time.Millisecond
	// rankDelay is how much longer each VM waits than the one ranked before it
	// before it writes a result itself.
	rankDelay = 600 * time.Millisecond
)

// Controller is the duty.
type Controller struct {
	duty *brduty.Duty[struct{}, *brfleet.View]
}

// New returns the duty of a VM.
func New(clock brclock.Clock, self brfleet.VM, bounds func() brfleet.Bounds, replicator *brreplicator.Replicator, aggregator *braggregator.Aggregator, assigner *brassignment.Assigner, recorder *brresult.Recorder, journal *brjournal.Journal) *Controller {
	h := &handler{
		self: self, bounds: bounds, replicator: replicator, aggregator: aggregator, assigner: assigner,
		recorder: recorder, journal: journal, evaluator: brrollout.NewEvaluator(), logged: map[brrecord.Revision]brrollout.Decision{}, pendingSince: map[brrecord.Revision]time.Time{},
	}
	c := &Controller{duty: brduty.New[struct{}, *brfleet.View]("judging", h, clock, brduty.WithoutTicks())}
	replicator.Subscribe(c.duty.Snapshots())
	return c
}

// Duty returns the duty for a group to start.
func (c *Controller) Duty() brduty.Runner { return c.duty }

type handler struct {
	self           brfleet.VM
	bounds         func() brfleet.Bounds
	replicator     *brreplicator.Replicator
	aggregator     *braggregator.Aggregator
	assigner       *brassignment.Assigner
	recorder       *brresult.Recorder
	journal        *brjournal.Journal
	evaluator      *brrollout.Evaluator
	active         bool // whether there are rollouts
	lastEvaluation time.Time
	logged         map[brrecord.Revision]brrollout.Decision // last logged decision, by revision of the rollout
	pendingSince   map[brrecord.Revision]time.Time          // since when a result is waiting to be written, by revision
}

// Handle does nothing: the duty receives no messages.
func (*handler) Handle(context.Context, struct{}) {}

// Update notes whether there are rollouts to evaluate.
func (h *handler) Update(_ context.Context, view *brfleet.View) {
	h.active = len(view.Rollouts()) > 0
}

// Due returns the time until the next evaluation, while there are rollouts.
func (h *handler) Due(now time.Time) (time.Duration, bool) {
	return h.lastEvaluation.Add(evaluationPeriod).Sub(now), h.active
}

// Tick evaluates each rollout.
func (h *handler) Tick(_ context.Context, now time.Time) {
	h.lastEvaluation = now
	state := h.replicator.State()
	rollouts := state.View().Rollouts()
	if len(rollouts) == 0 || !state.IsKnown(brrecord.AreaResults) {
		return // without the results, a rollout that runs would look like a new one
	}
	summary := h.aggregator.Summary()
	exposures := map[string]brplacement.Exposure{}
	known := make(map[brrecord.Revision]braggregator.Rollout, len(rollouts))
	changed := false
	for service, rollout := range rollouts {
		tally := summary.Fleet().Tally(rollout.Revision())
		limits := brrollout.NewLimits(h.bounds().ExposureShare(), h.bounds().ExposureSlack())
		evidence := brrollout.NewEvidence(tally, isMajority(summary, state))
		decision := h.evaluator.Evaluate(now, rollout, evidence, limits)
		if previous, ok := h.logged[rollout.Revision()]; ok && previous.Bad() {
			decision = previous
		}
		known[rollout.Revision()] = braggregator.NewRollout(h.evaluator.Age(now, rollout.Revision()), rollout.State().Ended())
		exposures[service] = brplacement.NewExposure(rollout.Revision(), decision.Share()).WithHalted(decision.Bad())
		if h.logged[rollout.Revision()] != decision {
			changed = true
			h.logged[rollout.Revision()] = decision
			h.journal.StateChange("rollout ruled", "service", service, "target", rollout.Target(), "era", rollout.Revision().Era(), "revision", rollout.Revision().Version(),
				"share", decision.Share(), "state", string(decision.State()), "target_good", tally.TargetGood(), "target_bad", tally.TargetBad(),
				"target_overdue", tally.TargetOverdue(),
				"members", len(summary.Fleet().Members()), "old_good", tally.OldGood(), "old_bad", tally.OldBad(), "old_overdue", tally.OldOverdue(), "age_ms", now.Sub(summary.AsOf()).Milliseconds())
		}
		h.record(now, state, summary, rollout.WithState(decision.State()), rollout.State())
	}
	h.aggregator.SetRollouts(known)
	if changed {
		h.assigner.SetExposures(exposures)
	}
}

// isMajority reports whether at least half of the registered VMs report to each other and to
// this VM.
func isMajority(summary *braggregator.Summary, state *brreplicator.State) bool {
	return 2*len(summary.Fleet().Members()) >= len(state.View().VMs())
}

// record writes a result that differs from the stored one, or that the store has lost. Each
// VM waits longer than those ranked before it; it doesn't rely on them, since they may be
// cut off from the store.
func (h *handler) record(now time.Time, state *brreplicator.State, summary *braggregator.Summary, result brfleet.Rollout, stored brfleet.RolloutState) {
	key := result.Revision()
	record := state.Result(result.Service())
	if stored.Ended() {
		result = result.WithState(stored)
	}
	if result.State() == stored && (!record.IsLost() || stored == brfleet.RolloutOrdered) {
		delete(h.pendingSince, key)
		return
	}
	since, ok := h.pendingSince[key]
	if !ok {
		since = now
		h.pendingSince[key] = now
	}
	rank := max(slices.Index(summary.Fleet().Members(), h.self.Name()), 0)
	if now.Sub(since) < time.Duration(rank)*rankDelay {
		return
	}
	h.pendingSince[key] = now
	h.recorder.Record(result, record.Revision())
}
