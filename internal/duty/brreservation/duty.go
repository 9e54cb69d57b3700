// Package brreservation provides the duty that owns the memory which bodies of requests may
// use on a VM. It decides which body is buffered, streamed or refused, and logs who holds the
// memory while bodies don't fit.
//
// # Usage
//
//	reservations := brreservation.New(clock, brmemory.BodyBytes(memory), journal)
//	group.Start(reservations.Duty())
//	verdict := reservations.Begin(ctx, holder, size)
//	defer reservations.End(holder, size)
package brreservation

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brmemory"
)

const (
	queueCapacity = 2048 // messages
	// queueReserve is for messages that release memory. Each of them follows a message that
	// was answered, so there are no more of them than requests in progress.
	queueReserve = 8192 // messages
	// reportPeriod is the shortest time between two log lines about bodies that don't fit.
	reportPeriod = 5 * time.Second
)

// Journal logs changes in the state of the VM.
type Journal interface {
	// StateChange logs a change in the VM's view of the system.
	StateChange(change string, fields ...any)
}

type kind int

const (
	kindBegin kind = iota
	kindBeginStream
	kindGrow
	kindEnd
)

type message struct {
	kind   kind
	holder brmemory.Holder
	held   int64
	bytes  int64
	reply  brring.Reply[brmemory.Verdict]
}

// Reservations is the duty and its client methods, which may be called concurrently.
type Reservations struct {
	duty    *brduty.Duty[message, struct{}]
	handler *handler
	answers *brring.ReplyPool[brmemory.Verdict]
}

// New returns the duty with a budget in bytes.
func New(clock brclock.Clock, bytes int64, journal Journal) *Reservations {
	h := &handler{budget: brmemory.NewBudget(bytes), journal: journal, verdicts: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bergamotroad_request_bodies_total",
		Help: "Bodies of requests for which memory was reserved, by what was decided.",
	}, []string{"verdict"})}
	return &Reservations{
		duty: brduty.New[message, struct{}]("reserving", h, clock,
			brduty.WithCapacity(queueCapacity), brduty.WithReserve(queueReserve), brduty.WithPeriod(reportPeriod)),
		handler: h,
		answers: brring.NewReplyPool[brmemory.Verdict](),
	}
}

// Duty returns the duty for a group to start.
func (r *Reservations) Duty() brduty.Runner { return r.duty }

// Collectors returns the duty's metrics.
func (r *Reservations) Collectors() []prometheus.Collector {
	return []prometheus.Collector{
		r.handler.verdicts,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bergamotroad_request_body_reserved_bytes",
			Help: "Memory reserved for bodies of requests.",
		}, func() float64 { return float64(r.handler.used.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bergamotroad_request_body_budget_bytes",
			Help: "Memory that bodies of requests may reserve.",
		}, func() float64 { return float64(r.handler.budget.Bytes()) }),
	}
}

// Begin decides about a body and reserves its memory, as brmemory.Budget.Begin does. If the
// duty's queue is full, the request is refused.
func (r *Reservations) Begin(ctx context.Context, holder brmemory.Holder, size int64) brmemory.Verdict {
	return r.ask(ctx, message{kind: kindBegin, holder: holder, bytes: size})
}

// BeginStream decides about a body that can't be buffered, as brmemory.Budget.BeginStream does.
func (r *Reservations) BeginStream(ctx context.Context, holder brmemory.Holder) brmemory.Verdict {
	return r.ask(ctx, message{kind: kindBeginStream, holder: holder})
}

// Grow reserves more memory for a body and reports whether it fits.
func (r *Reservations) Grow(ctx context.Context, holder brmemory.Holder, held, more int64) bool {
	return r.ask(ctx, message{kind: kindGrow, holder: holder, held: held, bytes: more}) == brmemory.Buffer
}

// End releases reserved memory.
func (r *Reservations) End(holder brmemory.Holder, bytes int64) {
	_ = r.duty.Queue().SendReserved(message{kind: kindEnd, holder: holder, bytes: bytes})
}

// ask waits for the answer even if ctx has ended, which takes microseconds: an answer that
// is not received would reserve memory that nobody releases.
func (r *Reservations) ask(ctx context.Context, m message) brmemory.Verdict {
	verdict, err := brring.Ask(context.WithoutCancel(ctx), r.duty.Queue(), r.answers, func(reply brring.Reply[brmemory.Verdict]) message {
		m.reply = reply
		return m
	})
	if err != nil {
		return brmemory.Refuse
	}
	return verdict
}

type handler struct {
	budget   *brmemory.Budget
	journal  Journal
	verdicts *prometheus.CounterVec
	used     atomic.Int64
	misfits  map[brmemory.Verdict]int // bodies that did not fit since the last log line
}

// Handle decides about a body or releases its memory.
func (h *handler) Handle(_ context.Context, m message) {
	switch m.kind {
	case kindBegin:
		h.answer(m, h.budget.Begin(m.holder, m.bytes))
	case kindBeginStream:
		h.answer(m, h.budget.BeginStream(m.holder))
	case kindGrow:
		verdict := brmemory.Refuse
		if h.budget.Grow(m.holder, m.held, m.bytes) {
			verdict = brmemory.Buffer
		}
		m.reply.Answer(verdict)
	case kindEnd:
		h.budget.End(m.holder, m.bytes)
	}
	h.used.Store(h.budget.Used())
}

func (h *handler) answer(m message, verdict brmemory.Verdict) {
	m.reply.Answer(verdict)
	h.verdicts.WithLabelValues(verdict.String()).Inc()
	if verdict != brmemory.Buffer {
		if h.misfits == nil {
			h.misfits = map[brmemory.Verdict]int{}
		}
		h.misfits[verdict]++
	}
}

// Update does nothing: the duty uses no snapshots.
func (*handler) Update(context.Context, struct{}) {}

// Tick logs the bodies that did not fit since the last tick, and who holds most memory.
func (h *handler) Tick(context.Context, time.Time) {
	if h.misfits == nil {
		return
	}
	address, bytes := h.budget.Largest()
	h.journal.StateChange("request bodies do not fit", "streamed", h.misfits[brmemory.Stream], "refused", h.misfits[brmemory.Refuse],
		"reserved_bytes", h.budget.Used(), "budget_bytes", h.budget.Bytes(), "largest_address", address.String(), "largest_bytes", bytes)
	h.misfits = nil
}
