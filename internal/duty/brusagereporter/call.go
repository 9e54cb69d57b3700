package brusagereporter

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/decide/brusage"
	"bergamotroad.example/bergamotroad/internal/peer/brbilling"
	"bergamotroad.example/bergamotroad/internal/peer/brregistry"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

// storeHandler carries out one call to the store at a time.
type storeHandler struct {
	steady brclock.Steady
	table  brregistry.LeaseTable
	report func(message)
}

// Handle carries out a call and reports its outcome.
func (h *storeHandler) Handle(ctx context.Context, call brusage.StoreCall) {
	if !call.IsWrite() {
		row, err := h.table.Lease(ctx)
		h.report(message{kind: kindRead, row: row, outcome: storeOutcome(err), err: err})
		return
	}
	started := h.steady.Reading()
	version, err := h.table.PutLease(ctx, call.Lease(), call.Expected())
	h.report(message{kind: kindWritten, started: started, version: version, outcome: storeOutcome(err), err: err})
}

// Update does nothing: the duty uses no snapshots.
func (*storeHandler) Update(context.Context, struct{}) {}

// Tick does nothing: the duty runs without ticks.
func (*storeHandler) Tick(context.Context, time.Time) {}

func storeOutcome(err error) brusage.Outcome {
	switch {
	case err == nil:
		return brusage.Applied
	case brtable.IsErrPrecondition(err):
		return brusage.Conflict
	case brtable.IsErrUnavailable(err):
		return brusage.NotApplied
	default:
		return brusage.Unknown
	}
}

// sendCommand is a call to the platform; its context ends with the lease.
type sendCommand struct {
	ctx  context.Context
	send brusage.Send
}

// sendHandler carries out one call to the platform at a time.
type sendHandler struct {
	vm       string
	platform brbilling.Platform
	mayAct   func() bool
	report   func(message)
}

// Handle sends a report and reports the outcome.
func (h *sendHandler) Handle(_ context.Context, c sendCommand) {
	err := h.platform.Report(c.ctx, brbilling.NewCall(h.vm, c.send.Token(), c.send.Report(), h.mayAct))
	h.report(message{kind: kindSent, outcome: sendOutcome(err), err: err})
}

// Update does nothing: the duty uses no snapshots.
func (*sendHandler) Update(context.Context, struct{}) {}

// Tick does nothing: the duty runs without ticks.
func (*sendHandler) Tick(context.Context, time.Time) {}

func sendOutcome(err error) brusage.Outcome {
	switch {
	case err == nil:
		return brusage.Applied
	case brbilling.IsErrRejected(err), brbilling.IsErrExpired(err):
		return brusage.NotApplied
	default:
		return brusage.Unknown
	}
}
