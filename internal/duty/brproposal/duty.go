// Package brproposal provides the duty that records the progress of moves, which shift a
// service from one version to another.
//
// It receives the proposals of this VM and writes them to the configuration as long as
// they are proposed. A write is conditional: it takes effect only if the move has not
// changed since the proposal was made, so that concurrent proposals of several VMs
// result in one step.
//
// # Usage
//
//	writer := brproposal.New("vm-1", clock, administration, timeline, logger)
//	balancer.SubscribeProposals(writer.Proposals())
//	group.Start(writer.Duty())
package brproposal

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brmove"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

const (
	tickPeriod = 500 * time.Millisecond
	// maxWriteDelay bounds the random delay before a VM writes a proposal. Because of the
	// delay, most VMs find that another VM has already written the step.
	maxWriteDelay = 2 * time.Second
)

// Recorder writes proposals to the configuration.
type Recorder interface {
	// RecordMove writes a proposal, unless the move has changed since the proposal was
	// made. It reports whether the operation wrote it, now or in an earlier call.
	RecordMove(ctx context.Context, vm, operation string, proposal brmove.Proposal) (bool, error)
}

// Writer is the duty that writes proposals.
type Writer struct {
	handler *handler
	duty    *brduty.Duty[struct{}, []brmove.Proposal]
}

// New returns the duty of a VM.
func New(vm string, clock brclock.Clock, recorder Recorder, events brevent.Recorder, logger *log.Logger) *Writer {
	h := &handler{vm: vm, clock: clock, recorder: recorder, events: events, logger: logger, nextAttempts: map[key]time.Time{}, written: map[key]bool{}, uncertain: map[key]brmove.Proposal{}, operations: map[key]string{}}
	return &Writer{handler: h, duty: brduty.New[struct{}, []brmove.Proposal]("moving", h, clock, brduty.WithPeriod(tickPeriod))}
}

// Duty returns the duty for a group to start.
func (w *Writer) Duty() brduty.Runner { return w.duty }

// Proposals returns the ring that receives the current proposals.
func (w *Writer) Proposals() *brring.Latest[[]brmove.Proposal] { return w.duty.Snapshots() }

// key identifies a proposal.
type key struct {
	move     string
	state    brconfig.MoveState
	step     int
	deadline int64 // Unix time in seconds
}

func keyFor(p brmove.Proposal) key {
	return key{move: p.Name(), state: p.State(), step: p.Step(), deadline: p.Base().Deadline().Unix()}
}

type handler struct {
	vm           string
	clock        brclock.Clock
	recorder     Recorder
	events       brevent.Recorder
	logger       *log.Logger
	proposals    []brmove.Proposal
	nextAttempts map[key]time.Time       // time of the next write attempt
	written      map[key]bool            // written and reported, but still proposed
	uncertain    map[key]brmove.Proposal // write failed, outcome unknown
	operations   map[key]string          // operation IDs of the uncertain proposals, reused by the next attempt
}

// Handle does nothing: the duty receives no messages.
func (*handler) Handle(context.Context, struct{}) {}

// Update replaces the proposals. State of a proposal that is no longer made is dropped,
// unless the proposal may have been written.
func (h *handler) Update(_ context.Context, proposals []brmove.Proposal) {
	nextAttempts := make(map[key]time.Time, len(proposals))
	written := map[key]bool{}
	for _, p := range proposals {
		k := keyFor(p)
		at, ok := h.nextAttempts[k]
		if !ok {
			at = h.randomAttemptTime()
		}
		nextAttempts[k] = at
		if h.written[k] {
			written[k] = true
		}
	}
	for k := range h.uncertain {
		nextAttempts[k] = h.nextAttempts[k]
	}
	h.proposals = proposals
	h.nextAttempts = nextAttempts
	h.written = written
}

func (h *handler) randomAttemptTime() time.Time {
	return h.clock.Now().Add(rand.N(maxWriteDelay))
}

// Tick writes the proposals that are due.
func (h *handler) Tick(ctx context.Context, now time.Time) {
	for _, p := range h.pending() {
		k := keyFor(p)
		if now.Before(h.nextAttempts[k]) {
			continue
		}
		h.write(ctx, k, p)
		h.nextAttempts[k] = h.randomAttemptTime()
	}
}

// pending returns the proposals that are not known to have been written.
func (h *handler) pending() []brmove.Proposal {
	pending := []brmove.Proposal{}
	for _, p := range h.uncertain {
		pending = append(pending, p)
	}
	for _, p := range h.proposals {
		_, isUncertain := h.uncertain[keyFor(p)]
		if !isUncertain && !h.written[keyFor(p)] {
			pending = append(pending, p)
		}
	}
	return pending
}

func (h *handler) write(ctx context.Context, k key, p brmove.Proposal) {
	operation, ok := h.operations[k]
	if !ok {
		operation = uuid.NewString()
	}
	written, err := h.recorder.RecordMove(ctx, h.vm, operation, p)
	if err != nil {
		h.operations[k] = operation
		h.uncertain[k] = p
		h.logger.Warn("failed to record move", "move", p.Name(), "error", err)
		return
	}
	delete(h.uncertain, k)
	delete(h.operations, k)
	if !written {
		return
	}
	h.written[k] = true
	event := brevent.New(eventKind(p.State())).WithMove(p.Name())
	h.events.Record(event.WithDetail("reason", p.Reason()))
}

func eventKind(state brconfig.MoveState) brevent.Kind {
	switch state {
	case brconfig.MoveDone:
		return brevent.KindMoveDone
	case brconfig.MoveUndone:
		return brevent.KindMoveUndone
	default:
		return brevent.KindMoveStep
	}
}
