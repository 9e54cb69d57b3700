// Package brpolling provides the duty that reads the newest configuration from
// the platform.
//
// Once a period it reads the head row; where the head is newer than what the
// VM holds, it reads the deltas in between from the object store, newest first
// along the chain of predecessors, checks their digests and offers them to the
// duty that holds the configuration.
//
// # Usage
//
//	polling := brpolling.New(clock, table, objects, spreading, logger)
//	group.Start(polling.Duty())
package brpolling

import (
	"context"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/brspreading"
	"bergamotroad.example/bergamotroad/internal/peer/brobject"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

const pollPeriod = time.Second

// Polling is the duty.
type Polling struct {
	duty *brduty.Duty[struct{}, struct{}]
}

// New returns the duty that offers what it reads to spreading.
func New(clock brclock.Clock, table brtable.Table, objects brobject.Store, spreading *brspreading.Spreading, logger *log.Logger) *Polling {
	h := &handler{table: table, objects: objects, spreading: spreading, logger: logger}
	return &Polling{duty: brduty.New[struct{}, struct{}]("polling", h, clock, brduty.WithPeriod(pollPeriod))}
}

// Duty returns the duty to be started.
func (p *Polling) Duty() brduty.Runner { return p.duty }

type handler struct {
	table     brtable.Table
	objects   brobject.Store
	spreading *brspreading.Spreading
	logger    *log.Logger
}

// Handle does nothing: no messages are sent to this duty.
func (*handler) Handle(context.Context, struct{}) {}

// Update does nothing.
func (*handler) Update(context.Context, struct{}) {}

// Tick polls once.
func (h *handler) Tick(ctx context.Context, _ time.Time) {
	if err := h.poll(ctx); err != nil && ctx.Err() == nil {
		h.logger.Warn("poll of configuration failed", "error", err)
	}
}

func (h *handler) poll(ctx context.Context) error {
	row, err := h.table.Read(ctx, brdocument.HeadKey)
	if brtable.IsErrRowNotExist(err) {
		return nil
	}
	if err != nil {
		return errors.Errorf("read head: %w", err)
	}
	head, err := brdocument.DecodeHead(row.Value())
	if err != nil {
		return errors.Errorf("decode head: %w", err)
	}
	state, err := h.spreading.State(ctx)
	if err != nil {
		return errors.Errorf("read own generation: %w", err)
	}
	deltas, err := h.chain(ctx, state.Head(), head)
	if err != nil {
		return errors.Errorf("read deltas up to generation %d: %w", head.Generation(), err)
	}
	if len(deltas) == 0 {
		return nil
	}
	if _, err := h.spreading.Offer(ctx, deltas); err != nil {
		return errors.Errorf("offer deltas: %w", err)
	}
	return nil
}

// chain returns the deltas after own up to head, oldest first.
func (h *handler) chain(ctx context.Context, own, head brdocument.Head) ([][]byte, error) {
	deltas := [][]byte{}
	for head.Generation() > own.Generation() {
		data, err := h.objects.Get(ctx, head.DeltaName())
		if err != nil {
			return nil, errors.Errorf("read delta: %w", err)
		}
		if brdocument.Digest(data) != head.Digest() {
			return nil, errors.Errorf("delta %d has another digest than its successor says", head.Generation())
		}
		delta, err := brdocument.DecodeDelta(data)
		if err != nil {
			return nil, errors.Errorf("decode delta: %w", err)
		}
		deltas = append(deltas, data)
		head = delta.Previous()
	}
	slices.Reverse(deltas)
	return deltas, nil
}
