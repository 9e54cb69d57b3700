package brdistributor

import (
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

type handler struct {
	confirmationListeners []ConfirmationListener
	tableReadListeners    []ConfirmationListener
	clock                 brclock.Clock
	events                brevent.Recorder
	metrics               *metrics
	generation            *atomic.Uint64
	subscribers           []*brring.Latest[*brconfig.Snapshot]
	archives              []*brring.Latest[State]
	state                 State
	changedAt             time.Time
	lastReported          brdocument.Head
	waiters               []message
}

// Handle processes deltas, a snapshot, a head read elsewhere, a query or a wait.
func (h *handler) Handle(_ context.Context, m message) {
	before := h.state.head
	h.process(m)
	if h.state.head != before {
		h.publish()
		h.answerWaiters(time.Time{})
	}
	if m.waiting && h.state.head.Generation() <= m.above && len(h.waiters) < maxWaiters {
		h.waiters = append(h.waiters, m)
		return
	}
	m.reply.Answer(h.state)
}

// Update does nothing: this duty produces the snapshots.
func (*handler) Update(context.Context, struct{}) {}

// Tick answers the waiters that have timed out and drops those that have left.
func (h *handler) Tick(_ context.Context, now time.Time) {
	h.answerWaiters(now)
}

// Due requests ticks while there are waiters.
func (h *handler) Due(time.Time) (time.Duration, bool) {
	return waitResolution, len(h.waiters) > 0
}

func (h *handler) process(m message) {
	for _, data := range m.deltas {
		if !h.apply(data) {
			break
		}
	}
	if i, ok := m.installation.Get(); ok {
		h.install(i)
	}
	if r, ok := m.headReading.Get(); ok {
		h.confirm(r)
	}
}

// apply applies an encoded delta and reports whether later deltas can still be applied.
func (h *handler) apply(data []byte) bool {
	delta, err := brdocument.DecodeDelta(data)
	if err != nil {
		h.metrics.refused.Inc()
		return false
	}
	head := brdocument.NewHead(delta.Generation(), delta.Operation(), data)
	if head.Generation() <= h.state.head.Generation() {
		return h.checkConsistent(head)
	}
	if delta.Previous() != h.state.head {
		h.checkConsistent(delta.Previous())
		return false
	}
	snapshot, err := h.state.snapshot.Apply(delta.Generation(), delta.Changes())
	if err != nil {
		h.metrics.refused.Inc()
		return false
	}
	h.setState(h.state.after(head, snapshot, data))
	return true
}

// install replaces the configuration by a full snapshot that is newer.
func (h *handler) install(i installation) {
	if i.head.Generation() <= h.state.head.Generation() {
		h.checkConsistent(i.head)
		return
	}
	h.setState(State{head: i.head, snapshot: i.snapshot})
	h.events.Record(brevent.New(brevent.KindSnapshotInstalled).WithDetail("generation", formatGeneration(i.head)))
}

// confirm compares a head that was read elsewhere with the VM's own.
func (h *handler) confirm(r headReading) {
	if r.head == h.state.head {
		if r.platform {
			notify(h.tableReadListeners, r.at)
		}
		if r.at.After(h.state.confirmed) {
			h.state.confirmed = r.at
			h.metrics.confirmed.Set(float64(r.at.Unix()))
			notify(h.confirmationListeners, r.at)
		}
		return
	}
	if !h.checkConsistent(r.head) || r.head.Generation() > h.state.head.Generation() {
		return
	}
	// A head that was read before the VM's last change may legitimately be older.
	if r.platform && r.at.After(h.changedAt) {
		h.metrics.headBehind.Inc()
		h.report(brevent.KindHeadBehind, r.head)
	}
}

func notify(listeners []ConfirmationListener, at time.Time) {
	for _, l := range listeners {
		l.Confirm(at)
	}
}

// checkConsistent reports a branch and returns false if a head has the VM's generation but
// differs from the VM's head.
func (h *handler) checkConsistent(head brdocument.Head) bool {
	if head.Generation() != h.state.head.Generation() || head == h.state.head {
		return true
	}
	h.metrics.branched.Inc()
	h.report(brevent.KindBranched, head)
	return false
}

// report records an event for a head, unless the last event was for the same head.
func (h *handler) report(kind brevent.Kind, head brdocument.Head) {
	if h.lastReported == head {
		return
	}
	h.lastReported = head
	h.events.Record(brevent.New(kind).
		WithDetail("generation", formatGeneration(h.state.head)).
		WithDetail("operation", h.state.head.Operation()).
		WithDetail("other-generation", formatGeneration(head)).
		WithDetail("other-operation", head.Operation()))
}

func (h *handler) setState(state State) {
	h.state = state
	h.changedAt = h.clock.Now()
	h.generation.Store(state.head.Generation())
	h.metrics.generation.Set(float64(state.head.Generation()))
	if state.head.Generation()%SnapshotInterval == 0 {
		for _, ring := range h.archives {
			_ = ring.Send(state)
		}
	}
}

func (h *handler) publish() {
	for _, ring := range h.subscribers {
		_ = ring.Send(h.state.snapshot)
	}
	h.events.Record(brevent.New(brevent.KindConfigurationActivated).WithDetail("generation", formatGeneration(h.state.head)))
}

// answerWaiters answers the waiters whose wait is over, and drops those that have left.
func (h *handler) answerWaiters(now time.Time) {
	h.waiters = slices.DeleteFunc(h.waiters, func(m message) bool {
		if m.reply.IsAbandoned() {
			return true
		}
		done := h.state.head.Generation() > m.above || (!now.IsZero() && !now.Before(m.until))
		if done {
			m.reply.Answer(h.state)
		}
		return done
	})
}

func formatGeneration(head brdocument.Head) string {
	return strconv.FormatUint(head.Generation(), 10)
}
