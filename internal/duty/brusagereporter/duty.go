// Package brusagereporter provides the duties that report usage to the platform: one owns the
// state of the lease and decides, one calls the store and one calls the platform, so that
// neither of the two delays the other.
//
// # Usage
//
//	reporter := brusagereporter.New(clock, steady, terms, "vm-1", counter, isLeader, table, platform, journal)
//	group.Start(reporter.Duties()...)
//	reporter.Leave() // on graceful shutdown
package brusagereporter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/decide/brusage"
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/duty/brusagecounter"
	"bergamotroad.example/bergamotroad/internal/model/brmeter"
	"bergamotroad.example/bergamotroad/internal/peer/brbilling"
	"bergamotroad.example/bergamotroad/internal/peer/brregistry"
)

const (
	// queueCapacity and queueReserve hold the outcomes of two calls and a few other messages.
	queueCapacity = 16
	queueReserve  = 4
	// tickPeriod is the interval at which the next call is decided on.
	tickPeriod = 100 * time.Millisecond
	// sendTimeout bounds one call to the platform, which may be slow. The lease, if it isn't
	// renewed, ends a call earlier.
	sendTimeout = 5 * time.Second
)

type kind int

const (
	kindRead kind = iota
	kindWritten
	kindSent
	kindLeave
)

// message is the outcome of a call, or the request to give the lease up.
type message struct {
	kind    kind
	started time.Duration
	row     brmeter.Row
	version uint64
	outcome brusage.Outcome
	err     error
}

// Reporter is the handle of the duties.
type Reporter struct {
	duty    *brduty.Duty[message, struct{}]
	store   *brduty.Duty[brusage.StoreCall, struct{}]
	sender  *brduty.Duty[sendCommand, struct{}]
	handler *handler
}

// New returns the duties of a VM in one run of its process; isLeader reports whether other VMs
// report to this one.
func New(clock brclock.Clock, steady brclock.Steady, terms brmeter.Terms, vm string, counter *brusagecounter.Counter, isLeader func() bool, table brregistry.LeaseTable, platform brbilling.Platform, journal *brjournal.Journal) *Reporter {
	h := &handler{steady: steady, terms: terms, vm: vm, run: counter.Run(), counter: counter, isLeader: isLeader, journal: journal, failing: map[kind]bool{}}
	h.holder = brusage.NewHolder[brusage.Fenced](terms, vm, counter.Run(), h.now())
	h.leadsFrom = h.steady.Reading()
	r := &Reporter{handler: h}
	r.duty = brduty.New[message, struct{}]("usage-reporting", h, clock,
		brduty.WithCapacity(queueCapacity), brduty.WithReserve(queueReserve), brduty.WithPeriod(tickPeriod))
	report := func(m message) { _ = r.duty.Queue().SendReserved(m) }
	r.store = brduty.New[brusage.StoreCall, struct{}]("usage-leasing", &storeHandler{steady: steady, table: table, report: report}, clock,
		brduty.WithCapacity(1), brduty.WithoutTicks())
	r.sender = brduty.New[sendCommand, struct{}]("usage-sending", &sendHandler{vm: vm, platform: platform, mayAct: h.mayAct, report: report}, clock,
		brduty.WithCapacity(1), brduty.WithoutTicks())
	h.storeCalls, h.sends = r.store.Queue().Send, r.sender.Queue().Send
	h.publish()
	return r
}

// Duties returns the duties for a group to start.
func (r *Reporter) Duties() []brduty.Runner { return []brduty.Runner{r.duty, r.store, r.sender} }

// Leave gives the lease up, if this VM holds it, because the VM shuts down.
func (r *Reporter) Leave() { _ = r.duty.Queue().SendReserved(message{kind: kindLeave}) }

// Collectors returns the metrics.
func (r *Reporter) Collectors() []prometheus.Collector {
	return []prometheus.Collector{collector{status: &r.handler.status}}
}

// handler owns the state of the lease.
type handler struct {
	steady     brclock.Steady
	terms      brmeter.Terms
	vm         string
	run        string
	counter    *brusagecounter.Counter
	isLeader   func() bool
	journal    *brjournal.Journal
	storeCalls func(brusage.StoreCall) error
	sends      func(sendCommand) error

	holder     *brusage.Holder[brusage.Fenced]
	leads      bool
	leadsFrom  time.Duration
	stopping   bool
	failing    map[kind]bool      // the latest call of the kind failed
	cancelSend context.CancelFunc // of the call to the platform that is under way, or nil
	end        atomic.Int64       // of the lease, on the steady clock
	status     atomic.Pointer[status]
}

func (h *handler) now() brusage.Instant { return h.counter.Now() }

// mayAct reports whether the lease lasts. It is called by the duty that sends.
func (h *handler) mayAct() bool { return h.steady.Reading() < time.Duration(h.end.Load()) }

// Handle records the outcome of a call and decides on the next one.
func (h *handler) Handle(ctx context.Context, m message) {
	now := h.now()
	before, held := h.holder.Lease(), h.holder.Holds()
	switch m.kind {
	case kindRead:
		h.holder.ObserveRead(now, m.row, m.outcome)
	case kindWritten:
		h.holder.ObserveWrite(m.started, now, m.version, m.outcome)
	case kindSent:
		h.endSend()
		h.holder.ObserveSend(now, m.outcome)
	case kindLeave:
		h.stopping = true
	}
	h.logCall(m)
	h.logHolder(before, held)
	h.advance(ctx, now)
}

// Update does nothing: the duty uses no snapshots.
func (*handler) Update(context.Context, struct{}) {}

// Tick decides on the next calls, and ends the call to the platform if the lease has ended.
func (h *handler) Tick(ctx context.Context, _ time.Time) { h.advance(ctx, h.now()) }

func (h *handler) advance(ctx context.Context, now brusage.Instant) {
	h.end.Store(int64(h.holder.End()))
	if h.cancelSend != nil && !h.holder.MayAct(now.Steady()) {
		h.cancelSend()
	}
	if call, ok := h.holder.NextStoreCall(now, h.view(now)); ok {
		_ = h.storeCalls(call) // the ring is empty, since only one call is under way
	}
	if send, ok := h.holder.NextSend(now); ok {
		sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
		h.cancelSend = cancel
		_ = h.sends(sendCommand{ctx: sendCtx, send: send})
	}
	h.publish()
}

func (h *handler) endSend() {
	if h.cancelSend != nil {
		h.cancelSend()
		h.cancelSend = nil
	}
}

func (h *handler) view(now brusage.Instant) brusage.View {
	if leads := h.isLeader(); leads != h.leads {
		h.leads, h.leadsFrom = leads, now.Steady()
	}
	view := brusage.NewView(h.counter.Snapshot(), h.leads, h.leadsFrom)
	if h.stopping {
		return view.WithStopping()
	}
	return view
}

// logCall logs the first of consecutive failed calls of a kind, and the first success after
// them, so that an outage costs two lines.
func (h *handler) logCall(m message) {
	call := map[kind]string{kindRead: "usage lease read", kindWritten: "usage lease write", kindSent: "usage report"}[m.kind]
	failed := m.err != nil && m.outcome != brusage.Conflict
	if call == "" || failed == h.failing[m.kind] {
		return
	}
	h.failing[m.kind] = failed
	if failed {
		h.journal.StateChange(call+" failed", "error", m.err.Error())
	} else {
		h.journal.StateChange(call + " succeeded again")
	}
}

// logHolder logs a change of the holder.
func (h *handler) logHolder(before brmeter.Lease, held bool) {
	after := h.holder.Lease()
	event := ""
	switch {
	case h.holder.Holds() && !held:
		event = "usage lease acquired"
	case held && !h.holder.Holds() && after.Released() && after.Run() == h.run:
		event = "usage lease released"
	case held && !h.holder.Holds():
		event = "usage lease lost"
	case before.Run() != after.Run() || before.Token() != after.Token():
		event = "usage lease seen at another VM"
	default:
		return
	}
	h.journal.StateChange(event, "holder", after.Holder(), "token", after.Token(), "from", before.Holder(),
		"next_window", after.Next(), "pending", len(after.Pending()))
}

func (h *handler) publish() {
	h.status.Store(&status{stats: h.holder.Stats(), lease: h.holder.Lease(), holds: h.holder.Holds()})
}
