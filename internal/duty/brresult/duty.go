// Package brresult provides the duty that writes the results of rollouts to the store.
//
// Writes run on a duty of their own, so that a slow store doesn't delay the evaluation of
// rollouts. A write is conditional on the revision of the stored result.
//
// # Usage
//
//	recorder := brresult.New(clock, registry, journal)
//	group.Start(recorder.Duty())
//	recorder.Record(rollout, expectedRevision)
package brresult

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/peer/brregistry"
)

const queueCapacity = 16 // results

type result struct {
	rollout          brfleet.Rollout
	expectedRevision brrecord.Revision
}

// Recorder is the duty and its client methods, which may be called concurrently.
type Recorder struct {
	duty *brduty.Duty[result, struct{}]
}

// New returns the duty.
func New(clock brclock.Clock, registry brregistry.Registry, journal *brjournal.Journal) *Recorder {
	h := &handler{registry: registry, journal: journal}
	return &Recorder{duty: brduty.New[result, struct{}]("recording", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithoutTicks())}
}

// Duty returns the duty for a group to start.
func (r *Recorder) Duty() brduty.Runner { return r.duty }

// Record queues the write of a result, which takes effect if the stored one still has
// the expected revision. Failed writes are not retried: callers repeat the call while
// the result is missing.
func (r *Recorder) Record(rollout brfleet.Rollout, expectedRevision brrecord.Revision) {
	_ = r.duty.Queue().Send(result{rollout: rollout, expectedRevision: expectedRevision})
}

type handler struct {
	registry brregistry.Registry
	journal  *brjournal.Journal
}

// Handle writes one result and logs the outcome.
func (h *handler) Handle(ctx context.Context, r result) {
	err := h.registry.PutResult(ctx, r.rollout, r.expectedRevision)
	outcome := "written"
	if err != nil {
		outcome = err.Error()
	}
	h.journal.StateChange("rollout result", "service", r.rollout.Service(), "target", r.rollout.Target(),
		"state", string(r.rollout.State()), "expected_era", r.expectedRevision.Era(), "expected_revision", r.expectedRevision.Version(), "outcome", outcome)
}

// Update does nothing: the duty uses no snapshots.
func (*handler) Update(context.Context, struct{}) {}

// Tick does nothing: the duty runs without ticks.
func (*handler) Tick(context.Context, time.Time) {}
