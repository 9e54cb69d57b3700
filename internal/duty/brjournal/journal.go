// Package brjournal provides the duty that writes the log: a JSON line for each
// decision about a request, each change in the VM's view of the system, and each start,
// stop, reload and dependency lost or regained.
//
// Logging never blocks the caller. The volume is bounded: lines beyond a budget per second
// are dropped and counted. Failures and state changes have a budget of their own, so that
// ordinary lines can't crowd them out. A blocked output blocks only this duty. When the
// duty stops, it writes the lines that are pending.
//
// # Usage
//
//	journal := brjournal.New(clock, "vm-1", os.Stdout)
//	journal.Decision(requestID, "refused", "reason", "over-rate")
//	journal.StateChange("server gone", "server", id, "revision", revision)
package brjournal

import (
	"bufio"
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
)

const (
	queueCapacity = 1024 // lines
	queueReserve  = 1024 // lines, for urgent ones
	// linesPerSecond is the budget for ordinary lines. It allows a few lines for each
	// request on a small VM.
	linesPerSecond = 200
	// urgentLinesPerSecond is the budget for failures and state changes.
	urgentLinesPerSecond = 200
	bufferBytes          = 16 << 10
	flushPeriod          = 500 * time.Millisecond
)

// budget is the budget that a line counts against.
type budget int

const (
	budgetOrdinary  budget = iota
	budgetUrgent           // failures and state changes
	budgetUnlimited        // start and stop of the process: few lines, which must not be dropped
)

type line struct {
	budget  budget
	message string
	fields  []any
}

// Journal is the duty and its client methods, which may be called concurrently.
type Journal struct {
	duty *brduty.Duty[line, struct{}]
}

// New returns the duty of a VM, which writes to output.
func New(clock brclock.Clock, vm string, output io.Writer) *Journal {
	buffer := bufio.NewWriterSize(output, bufferBytes)
	logger := log.NewWithOptions(buffer, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano}).With("vm", vm)
	h := &handler{clock: clock, buffer: buffer, logger: logger}
	j := &Journal{}
	j.duty = brduty.New[line, struct{}]("journal", h, clock,
		brduty.WithCapacity(queueCapacity), brduty.WithReserve(queueReserve), brduty.WithPeriod(flushPeriod))
	h.dropped = func() uint64 { return j.duty.Queue().Dropped() }
	return j
}

// Duty returns the duty for a group to start.
func (j *Journal) Duty() brduty.Runner { return j.duty }

// Decision logs a decision about a request that was handled normally.
func (j *Journal) Decision(request, outcome string, fields ...any) {
	_ = j.duty.Queue().Send(line{message: outcome, fields: append([]any{"request", request}, fields...)})
}

// Failure logs a decision by which a request is refused, retried or fails.
func (j *Journal) Failure(request, outcome string, fields ...any) {
	_ = j.duty.Queue().SendReserved(line{budget: budgetUrgent, message: outcome, fields: append([]any{"request", request}, fields...)})
}

// StateChange logs a change in the VM's view of the system, or that its process reloads,
// or loses or regains a dependency.
func (j *Journal) StateChange(change string, fields ...any) {
	_ = j.duty.Queue().SendReserved(line{budget: budgetUrgent, message: change, fields: fields})
}

// Lifecycle logs that the process starts or stops. These lines are written whatever the
// volume of others is.
func (j *Journal) Lifecycle(event string, fields ...any) {
	_ = j.duty.Queue().SendReserved(line{budget: budgetUnlimited, message: event, fields: fields})
}

// handler owns the budgets and the output buffer.
type handler struct {
	clock         brclock.Clock
	buffer        *bufio.Writer
	logger        *log.Logger
	second        int64
	lineCount     int
	urgentCount   int
	overBudget    int
	dropped       func() uint64
	reportedDrops uint64
}

// Handle writes one line if the budget of the current second allows it.
func (h *handler) Handle(_ context.Context, l line) {
	h.resetCounts()
	if !h.withinBudget(l.budget) {
		h.overBudget++
		return
	}
	h.logger.Info(l.message, l.fields...)
}

// withinBudget counts one line and reports whether its budget allows it.
func (h *handler) withinBudget(b budget) bool {
	switch b {
	case budgetUnlimited:
		return true
	case budgetUrgent:
		h.urgentCount++
		return h.urgentCount <= urgentLinesPerSecond
	default:
		h.lineCount++
		return h.lineCount <= linesPerSecond
	}
}

func (h *handler) resetCounts() {
	second := h.clock.Now().Unix()
	if second == h.second {
		return
	}
	h.second = second
	h.lineCount, h.urgentCount = 0, 0
}

// Update does nothing: the duty uses no snapshots.
func (*handler) Update(context.Context, struct{}) {}

// Tick logs how many lines were dropped since the last time, and flushes the buffer.
func (h *handler) Tick(context.Context, time.Time) { h.flush() }

// Finish flushes the buffer when the duty stops.
func (h *handler) Finish() { h.flush() }

func (h *handler) flush() {
	dropped := h.dropped()
	if h.overBudget > 0 || dropped > h.reportedDrops {
		h.logger.Warn("log lines left out", "beyond_budget", h.overBudget, "beyond_ring", dropped-h.reportedDrops)
		h.overBudget = 0
		h.reportedDrops = dropped
	}
	_ = h.buffer.Flush()
}
