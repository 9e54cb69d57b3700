// Package brpoller provides the duty that reads the newest configuration from
// the platform.
//
// A few VMs of each failure domain read the head row once a second, and witnesses
// every two seconds; the other VMs only if their configuration has not been confirmed
// recently. If the head is newer than the VM's configuration, the duty reads the
// deltas in between from the object store, newest first along the chain of
// predecessors, verifies their digests and passes them to the duty that owns the
// configuration. A VM that is far behind uses the newest snapshot on the chain
// instead.
//
// # Usage
//
//	poller := brpoller.New("vm-1", "montevideo-a", clock, table, objects, distributor, logger)
//	membership.Subscribe(poller.Members())
//	group.Start(poller.Duty())
package brpoller

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brdistribution"
	"bergamotroad.example/bergamotroad/internal/decide/brwitness"
	"bergamotroad.example/bergamotroad/internal/duty/brdistributor"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
	"bergamotroad.example/bergamotroad/internal/peer/brobject"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

const (
	// tickPeriod is how often the duty checks whether to poll.
	tickPeriod = 250 * time.Millisecond
	// firstPollSpread limits the random time before a VM's first poll, so that the
	// VMs of a failure domain that start together do not all read at the same time.
	firstPollSpread = time.Second
	// witnessPeriod is the time between two polls of a witness.
	witnessPeriod = 2 * time.Second
)

// Poller is the handle of the duty; its methods may be called from any goroutine.
type Poller struct {
	duty *brduty.Duty[int, brmember.List]
}

// New returns the duty of a VM, which offers the configurations it reads to distributor.
func New(vm, domain string, clock brclock.Clock, table brtable.Table, objects brobject.Store, distributor *brdistributor.Distributor, logger *log.Logger) *Poller {
	h := &handler{
		vm:          vm,
		domain:      domain,
		clock:       clock,
		table:       table,
		reader:      &reader{objects: objects},
		distributor: distributor,
		logger:      logger,
		plan:        brdistribution.NewPlan(vm, domain, nil),
		lastPoll:    clock.Now().Add(-rand.N(firstPollSpread)),
	}
	return &Poller{duty: brduty.New[int, brmember.List]("polling", h, clock, brduty.WithPeriod(tickPeriod))}
}

// Duty returns the runner to be passed to a brduty.Group.
func (p *Poller) Duty() brduty.Runner { return p.duty }

// Members returns the ring that receives the list of VMs.
func (p *Poller) Members() *brring.Latest[brmember.List] { return p.duty.Snapshots() }

// SourcesFailed reports the number of consecutive VMs that failed to serve a
// configuration. An isolated VM polls the platform like a poller.
func (p *Poller) SourcesFailed(failures int) {
	_ = p.duty.Queue().Send(failures)
}

type handler struct {
	vm                string
	domain            string
	clock             brclock.Clock
	table             brtable.Table
	reader            *reader
	distributor       *brdistributor.Distributor
	logger            *log.Logger
	plan              brdistribution.Plan
	failures          int
	isWitness         bool
	witnessGeneration uint64 // generation at which isWitness was computed
	lastPoll          time.Time
}

// Handle records the number of consecutive failed sources.
func (h *handler) Handle(_ context.Context, failures int) { h.failures = failures }

// Update replaces the list of VMs.
func (h *handler) Update(_ context.Context, members brmember.List) {
	h.plan = brdistribution.NewPlan(h.vm, h.domain, members.All())
}

// Tick polls when it is this VM's turn.
func (h *handler) Tick(ctx context.Context, now time.Time) {
	state, err := h.distributor.State(ctx)
	if err != nil {
		return
	}
	freshness := brdistribution.NewFreshness(now.Sub(state.Confirmed()), h.failures)
	since := now.Sub(h.lastPoll)
	if !h.plan.ShouldPoll(freshness, since) && !h.pollsAsWitness(state, since) {
		return
	}
	h.lastPoll = now
	if err := h.poll(ctx, state); err != nil && ctx.Err() == nil {
		h.logger.Warn("failed to poll configuration", "error", err)
	}
}

// pollsAsWitness reports whether a poll of this VM as a witness is due. A witness has to
// read the table itself before it can give attestations.
func (h *handler) pollsAsWitness(state brdistributor.State, since time.Duration) bool {
	if generation := state.Head().Generation(); generation != h.witnessGeneration {
		h.witnessGeneration = generation
		h.isWitness = slices.Contains(brwitness.Choose(state.Snapshot()), h.vm)
	}
	return h.isWitness && since >= witnessPeriod
}

func (h *handler) poll(ctx context.Context, state brdistributor.State) error {
	before := h.clock.Now()
	head, err := h.readHead(ctx)
	if err != nil {
		return err
	}
	if head.Generation() > state.Head().Generation() {
		if err := h.catchUp(ctx, state.Head(), head); err != nil {
			return err
		}
	}
	after, err := h.distributor.Confirm(ctx, head, before, true)
	if err != nil {
		return errors.Errorf("confirm head: %w", err)
	}
	if after.Head() != head && !before.Before(after.Confirmed()) {
		h.logger.Error("head in the platform's table does not match this VM's configuration",
			"generation", after.Head().Generation(), "head", head.Generation())
	}
	return nil
}

// readHead returns the head in the platform's table, or generation 0 if there is no
// head row.
func (h *handler) readHead(ctx context.Context) (brdocument.Head, error) {
	row, err := h.table.Read(ctx, brdocument.HeadKey)
	if brtable.IsErrRowNotExist(err) {
		return brdocument.Head{}, nil
	}
	if err != nil {
		return brdocument.Head{}, errors.Errorf("read head: %w", err)
	}
	head, err := brdocument.DecodeHead(row.Value())
	if err != nil {
		return brdocument.Head{}, errors.Errorf("decode head: %w", err)
	}
	return head, nil
}

func (h *handler) catchUp(ctx context.Context, own, head brdocument.Head) error {
	chain, err := h.reader.loadChain(ctx, own, head)
	if err != nil {
		return errors.Errorf("read configuration up to generation %d: %w", head.Generation(), err)
	}
	if chain.snapshot != nil {
		if _, err := h.distributor.Install(ctx, chain.head, chain.snapshot); err != nil {
			return errors.Errorf("install snapshot: %w", err)
		}
	}
	if len(chain.deltas) == 0 {
		return nil
	}
	if _, err := h.distributor.Offer(ctx, chain.deltas); err != nil {
		return errors.Errorf("apply deltas: %w", err)
	}
	return nil
}
