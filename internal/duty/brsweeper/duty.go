// Package brsweeper provides the duty that deletes expired claims from the
// platform's table.
//
// Claims are divided into shards by their identifiers. Once per period the duty
// scans one shard, if this VM is one of the few responsible for it, and deletes the
// claims that are older than bridempotency.Retention, with a limited number of rows
// per transaction. Each deletion requires the row version that was read, so that a
// row that has changed since is kept.
//
// # Usage
//
//	sweeper := brsweeper.New("vm-1", clock, table, logger)
//	distributor.Subscribe(sweeper.Snapshots())
//	group.Start(sweeper.Duty())
package brsweeper

import (
	"context"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brclaimrow"
	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/bridempotency"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

const (
	// period is the time between two shards; a pass over all shards takes about two
	// and a half hours.
	period = 2 * time.Second
	// maxDeletes limits the rows of one transaction.
	maxDeletes = 64
	// maxTransactions limits the transactions of one pass over a shard.
	maxTransactions = 4
)

// Sweeper is the handle of the duty.
type Sweeper struct {
	duty *brduty.Duty[struct{}, *brconfig.Snapshot]
}

// New returns the duty of the named VM.
func New(vm string, clock brclock.Clock, table brtable.Table, logger *log.Logger) *Sweeper {
	h := &handler{vm: vm, clock: clock, table: table, logger: logger}
	return &Sweeper{duty: brduty.New[struct{}, *brconfig.Snapshot]("sweeping", h, clock, brduty.WithPeriod(period))}
}

// Duty returns the runner to be passed to a brduty.Group.
func (s *Sweeper) Duty() brduty.Runner { return s.duty }

// Snapshots returns the ring that receives the configuration.
func (s *Sweeper) Snapshots() *brring.Latest[*brconfig.Snapshot] { return s.duty.Snapshots() }

type handler struct {
	vm     string
	clock  brclock.Clock
	table  brtable.Table
	logger *log.Logger
	vms    []string
	shard  int
}

// Handle does nothing: this duty receives no messages.
func (*handler) Handle(context.Context, struct{}) {}

// Update replaces the list of VMs with those of a new configuration.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	h.vms = nil
	for v := range snapshot.VMs().All() {
		h.vms = append(h.vms, v.Name())
	}
}

// Tick cleans up the next shard if this VM is responsible for it.
func (h *handler) Tick(ctx context.Context, now time.Time) {
	shard := h.shard
	h.shard = (h.shard + 1) % bridempotency.Shards
	if !bridempotency.IsSweeper(h.vm, shard, h.vms) {
		return
	}
	if err := h.sweep(ctx, shard, now); err != nil {
		h.logger.Warn("failed to delete expired claims", "shard", shard, "error", err)
	}
}

func (h *handler) sweep(ctx context.Context, shard int, now time.Time) error {
	rows, err := h.table.Scan(ctx, brclaimrow.Prefix+bridempotency.ShardPrefix(shard))
	if err != nil {
		return errors.Errorf("scan claims: %w", err)
	}
	expired := slices.DeleteFunc(rows, func(row brtable.Row) bool {
		record, err := brclaimrow.Decode(row.Value())
		return err != nil || !bridempotency.Expired(record, now)
	})
	for batch := range slices.Chunk(expired[:min(len(expired), maxDeletes*maxTransactions)], maxDeletes) {
		if err := h.deleteRows(ctx, batch); err != nil {
			return err
		}
	}
	return nil
}

func (h *handler) deleteRows(ctx context.Context, batch []brtable.Row) error {
	transaction := brtable.NewTransaction()
	for _, row := range batch {
		transaction = transaction.Require(row.Key(), row.Version()).Delete(row.Key())
	}
	if err := h.table.Commit(ctx, transaction); err != nil && !brtable.IsErrPrecondition(err) {
		return errors.Errorf("delete expired claims: %w", err)
	}
	return nil
}
