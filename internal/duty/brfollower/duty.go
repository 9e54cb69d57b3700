// Package brfollower provides the duty that fetches new configurations from
// other VMs.
//
// It sends long polls to one source at a time and keeps that source while the
// source's configuration is confirmed as recent. If a source fails, is behind or
// has no recent confirmation itself, the duty switches to the next one: pollers of
// the VM's own failure domain first, then other VMs there and in other failure
// domains. A newer generation in a message from another VM makes the duty query
// that VM at once.
//
// # Usage
//
//	follower := brfollower.New("vm-1", "montevideo-a", clock, dialer, distributor, poller, logger)
//	membership.Subscribe(follower.Members())
//	group.Start(follower.Duty())
//	follower.ObserveGeneration("vm-2", 8)
package brfollower

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brdistribution"
	"bergamotroad.example/bergamotroad/internal/duty/brdistributor"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

const (
	queueCapacity = 64 // messages
	// tickPeriod is the time between two queries.
	tickPeriod = 100 * time.Millisecond
	// pollerPeriod is the time between two checks on a VM that polls the platform itself.
	pollerPeriod = 500 * time.Millisecond
	// longPollTimeout is how long a source may hold a long poll.
	longPollTimeout = 1500 * time.Millisecond
	// responseTimeout is the time allowed for the response beyond the hold time.
	responseTimeout = 500 * time.Millisecond
	// fetchTimeout bounds the fetch of deltas or of one piece of a snapshot.
	fetchTimeout = 2 * time.Second
)

// FailureListener is notified of the number of consecutive failed sources.
type FailureListener interface {
	// SourcesFailed is called when the number has changed.
	SourcesFailed(failures int)
}

type message struct {
	vm         string
	generation uint64
}

// Follower is the handle of the duty; its methods may be called from any goroutine.
type Follower struct {
	duty        *brduty.Duty[message, brmember.List]
	distributor *brdistributor.Distributor
}

// New returns the duty of a VM, which offers fetched configurations to distributor and
// reports failed sources to failures.
func New(vm, domain string, clock brclock.Clock, dialer Dialer, distributor *brdistributor.Distributor, failures FailureListener, logger *log.Logger) *Follower {
	h := &handler{
		vm:          vm,
		domain:      domain,
		clock:       clock,
		dialer:      dialer,
		distributor: distributor,
		failures:    failures,
		logger:      logger,
		plan:        brdistribution.NewPlan(vm, domain, nil),
	}
	return &Follower{
		duty:        brduty.New[message, brmember.List]("following", h, clock, brduty.WithPeriod(pollerPeriod), brduty.WithCapacity(queueCapacity)),
		distributor: distributor,
	}
}

// Duty returns the runner to be passed to a brduty.Group.
func (f *Follower) Duty() brduty.Runner { return f.duty }

// Members returns the ring that receives the list of VMs.
func (f *Follower) Members() *brring.Latest[brmember.List] { return f.duty.Snapshots() }

// ObserveGeneration reports the generation that was contained in a message from another VM.
func (f *Follower) ObserveGeneration(vm string, generation uint64) {
	if generation > f.distributor.Generation() {
		_ = f.duty.Queue().Send(message{vm: vm, generation: generation})
	}
}

type handler struct {
	vm            string
	domain        string
	clock         brclock.Clock
	dialer        Dialer
	distributor   *brdistributor.Distributor
	failures      FailureListener
	logger        *log.Logger
	members       brmember.List
	plan          brdistribution.Plan
	next          int // index of the source to query next
	failedSources int // consecutive failed sources
	unusable      int // consecutive sources that failed or were outdated
	lastQuery     time.Time
}

// Handle queries the VM that has a newer generation, at most once per tickPeriod.
// The response carries the generation too, so that without this limit VMs on
// different branches would query each other endlessly.
func (h *handler) Handle(ctx context.Context, m message) {
	now := h.clock.Now()
	if m.generation <= h.distributor.Generation() || now.Sub(h.lastQuery) < tickPeriod {
		return
	}
	h.lastQuery = now
	for _, member := range h.members.All() {
		if member.Name() == m.vm {
			_ = h.query(ctx, member, 0)
			return
		}
	}
}

// Update replaces the list of VMs.
func (h *handler) Update(_ context.Context, members brmember.List) {
	h.members = members
	h.plan = brdistribution.NewPlan(h.vm, h.domain, members.All())
	h.next = 0
}

// Tick queries one source, unless the VM polls the platform itself with success.
func (h *handler) Tick(ctx context.Context, now time.Time) {
	state, err := h.distributor.State(ctx)
	sources := h.plan.Sources()
	if err != nil || len(sources) == 0 {
		return
	}
	stale := brdistribution.NewFreshness(now.Sub(state.Confirmed()), h.failedSources).Stale()
	if h.plan.IsPoller() && !stale {
		return
	}
	h.recordStatus(h.query(ctx, sources[h.next%len(sources)], h.holdTime(len(sources))))
}

// holdTime returns how long a source may hold the long poll. After a failed or outdated
// source, the others are tried once each without a hold, to find a good one quickly.
func (h *handler) holdTime(sources int) time.Duration {
	if h.unusable > 0 && h.unusable < sources {
		return 0
	}
	return longPollTimeout
}

// Due requests short ticks, unless the VM polls the platform itself.
func (h *handler) Due(time.Time) (time.Duration, bool) {
	return tickPeriod, !h.plan.IsPoller()
}

func (h *handler) recordStatus(status sourceStatus) {
	before := h.failedSources
	if status == sourceFailed {
		h.failedSources++
	} else {
		h.failedSources = 0
	}
	if status == sourceCurrent {
		h.unusable = 0
	} else {
		h.unusable++
		h.next++
	}
	if h.failedSources != before {
		h.failures.SourcesFailed(h.failedSources)
	}
}
