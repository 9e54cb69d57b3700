package brreplicator

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/decide/brreplica"
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
)

func emptyDomains() brset.Set[string] { return brset.New[string]() }

// handler owns the replica and the pending calls of Await.
type handler struct {
	clock       brclock.Clock
	journal     *brjournal.Journal
	replica     *brreplica.Replica
	subscribers []*brring.Latest[*brfleet.View]
	state       atomic.Pointer[State]
	waiters     []message
	unreadable  *prometheus.CounterVec
}

// maxCauseLength bounds the text of a decoding error in the log, in bytes. The text may
// quote the record, which another writer may have filled with anything.
const maxCauseLength = 200

// shorten returns the first part of an error's text.
func shorten(text string) string {
	if len(text) <= maxCauseLength {
		return text
	}
	return strings.ToValidUTF8(text[:maxCauseLength], "") + "…"
}

// Handle processes a message: a call of Await, a batch, or evidence of an outage of the
// store.
func (h *handler) Handle(_ context.Context, m message) {
	switch {
	case m.reply.IsExpected():
		h.startWait(m)
	case !m.failedRead.end.IsZero():
		h.replica.RecordFailedRead(m.failedRead.start, m.failedRead.end)
	case !m.peerAnswers.IsZero():
		h.replica.RecordPeer(m.peerAnswers)
	default:
		h.apply(m)
	}
}

func (h *handler) apply(m message) {
	now := h.clock.Now()
	change := h.replica.Apply(now, m.batch, m.asOf)
	h.logChanges(now, m, change)
	h.publish(now, !change.IsEmpty())
	if !change.IsEmpty() {
		h.answerWaiters(now)
	}
}

// Update does nothing: this duty uses no snapshots.
func (*handler) Update(context.Context, struct{}) {}

// Tick answers the calls of Await that have timed out, and publishes a new view
// when the grace period ends for servers whose entries expired during an outage of
// the store.
func (h *handler) Tick(_ context.Context, now time.Time) {
	if expiry, pending := h.replica.NextExpiry(); pending && !now.Before(expiry) {
		h.publish(now, true)
	}
	h.waiters = slices.DeleteFunc(h.waiters, func(m message) bool {
		if now.Before(m.until) {
			return false
		}
		m.reply.Answer(h.changesFor(now, m))
		return true
	})
}

// Due returns the time until the next call of Await times out or the next grace
// period of a server ends.
func (h *handler) Due(now time.Time) (time.Duration, bool) {
	next, pending := h.replica.NextExpiry()
	for _, m := range h.waiters {
		if !pending || m.until.Before(next) {
			next, pending = m.until, true
		}
	}
	return next.Sub(now), pending
}

func (h *handler) startWait(m message) {
	now := h.clock.Now()
	batches := h.changesFor(now, m)
	for _, b := range batches {
		if len(b.Records()) > 0 || b.Full() {
			m.reply.Answer(batches)
			return
		}
	}
	if !now.Before(m.until) {
		m.reply.Answer(batches)
		return
	}
	h.waiters = append(h.waiters, m)
}

func (h *handler) answerWaiters(now time.Time) {
	for _, m := range h.waiters {
		m.reply.Answer(h.changesFor(now, m))
	}
	h.waiters = h.waiters[:0]
}

func (h *handler) changesFor(now time.Time, m message) []brrecord.Batch {
	batches := h.replica.Since(m.known)
	for i, b := range batches {
		asOf, _ := h.replica.AsOf(b.Area())
		batches[i] = b.WithAge(now.Sub(asOf))
	}
	return batches
}

// publish stores the new state and, if records changed, sends the view to the
// subscribers.
func (h *handler) publish(now time.Time, changed bool) {
	state := *h.state.Load()
	state.revisions = h.replica.Revisions()
	for i := range state.asOf {
		state.asOf[i], _ = h.replica.AsOf(brrecord.Area(i))
	}
	if changed {
		state.view = h.replica.View(now)
		state.lostVMs = h.replica.Lost(brrecord.AreaVMs)
		state.results = map[string]brreplica.Result{}
		for service := range state.view.Rollouts() {
			state.results[service] = h.replica.StoredResult(service)
		}
	}
	h.state.Store(&state)
	if !changed {
		return
	}
	for _, ring := range h.subscribers {
		_ = ring.Send(state.view)
	}
}

func (h *handler) logChanges(now time.Time, m message, change brreplica.Change) {
	if gap := change.Gap(); gap.Length() > 0 {
		h.journal.StateChange("gap in records", "area", m.batch.Area().String(), "length_ms", gap.Length().Milliseconds(),
			"store_outage", gap.IsOutage(), "from", m.from)
	}
	if change.BeginsEra() {
		h.journal.StateChange("store returned from an older copy", "area", m.batch.Area().String(),
			"era", m.batch.Revision().Era(), "listed", len(m.batch.Records()), "kept", change.Held(), "from", m.from)
	}
	age := now.Sub(m.asOf).Milliseconds()
	for _, record := range change.Records() {
		h.journal.StateChange("record changed", "area", record.Area().String(), "key", record.Key(),
			"era", record.Revision().Era(), "revision", record.Revision().Version(), "deleted", record.Deleted(), "from", m.from, "age_ms", age)
	}
	for _, failure := range change.Failures() {
		h.unreadable.WithLabelValues(failure.Record().Area().String()).Inc()
		h.journal.StateChange("record unreadable", "area", failure.Record().Area().String(),
			"key", failure.Record().Key(), "revision", failure.Record().Revision().Version(), "error", shorten(failure.Cause().Error()))
	}
}
