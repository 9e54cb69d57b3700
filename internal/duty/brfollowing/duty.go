// Package brfollowing provides the duty that learns of new configurations from
// other VMs.
//
// It asks one source at a time with a long poll and stays with it while its
// knowledge is fresh. A source that fails, is behind or is badly informed
// itself makes it ask the next one: pollers of the own failure domain first,
// then others there and in other failure domains. A generation that came with
// a message of another VM makes it ask that VM at once.
//
// # Usage
//
//	following := brfollowing.New("vm-1", "montevideo-a", clock, dialer, spreading, polling, logger)
//	membership.Subscribe(following.Members())
//	group.Start(following.Duty())
//	following.Heard("vm-2", 8)
package brfollowing

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brspread"
	"bergamotroad.example/bergamotroad/internal/duty/brspreading"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

const (
	queueCapacity = 64 // messages
	// tickPeriod is the time between two questions.
	tickPeriod = 100 * time.Millisecond
	// pollerPeriod is the time between two looks of a VM that polls itself.
	pollerPeriod = 500 * time.Millisecond
	// patience is how long a source may hold a question.
	patience = 1500 * time.Millisecond
	// answerTime is what a source may take beyond its patience.
	answerTime = 500 * time.Millisecond
	// fetchTimeout bounds the fetch of deltas or of one piece of a snapshot.
	fetchTimeout = 2 * time.Second
)

// Failures hears how many sources failed one after the other.
type Failures interface {
	// SourcesFailed is called when the number has changed.
	SourcesFailed(failures int)
}

type message struct {
	vm         string
	generation uint64
}

// Following is the duty with the calls that reach it.
type Following struct {
	duty      *brduty.Duty[message, brmember.List]
	spreading *brspreading.Spreading
}

// New returns the duty of a VM that offers what it learns to spreading.
func New(vm, domain string, clock brclock.Clock, dialer Dialer, spreading *brspreading.Spreading, failures Failures, logger *log.Logger) *Following {
	h := &handler{
		vm:        vm,
		domain:    domain,
		clock:     clock,
		dialer:    dialer,
		spreading: spreading,
		failures:  failures,
		logger:    logger,
		plan:      brspread.NewPlan(vm, domain, nil),
	}
	return &Following{
		duty:      brduty.New[message, brmember.List]("following", h, clock, brduty.WithPeriod(pollerPeriod), brduty.WithCapacity(queueCapacity)),
		spreading: spreading,
	}
}

// Duty returns the duty to be started.
func (f *Following) Duty() brduty.Runner { return f.duty }

// Members returns the ring that takes the VMs.
func (f *Following) Members() *brring.Latest[brmember.List] { return f.duty.Snapshots() }

// Heard tells of a generation that came with a message of another VM.
func (f *Following) Heard(vm string, generation uint64) {
	if generation > f.spreading.Generation() {
		_ = f.duty.Queue().Send(message{vm: vm, generation: generation})
	}
}

type handler struct {
	vm        string
	domain    string
	clock     brclock.Clock
	dialer    Dialer
	spreading *brspreading.Spreading
	failures  Failures
	logger    *log.Logger
	members   brmember.List
	plan      brspread.Plan
	next      int // the source that is asked next
	failed    int // sources that failed one after the other
	useless   int // sources that failed or knew too little, one after the other
	lastHeard time.Time
}

// Handle asks the VM that a newer generation was heard of, once a period at
// most: the answer carries the generation too.
func (h *handler) Handle(ctx context.Context, m message) {
	now := h.clock.Now()
	if m.generation <= h.spreading.Generation() || now.Sub(h.lastHeard) < tickPeriod {
		return
	}
	h.lastHeard = now
	for _, member := range h.members.All() {
		if member.Name() == m.vm {
			_ = h.ask(ctx, member, 0)
			return
		}
	}
}

// Update takes the VMs.
func (h *handler) Update(_ context.Context, members brmember.List) {
	h.members = members
	h.plan = brspread.NewPlan(h.vm, h.domain, members.All())
	h.next = 0
}

// Tick asks one source, unless the VM polls the platform and hears it.
func (h *handler) Tick(ctx context.Context, now time.Time) {
	state, err := h.spreading.State(ctx)
	sources := h.plan.Sources()
	if err != nil || len(sources) == 0 {
		return
	}
	stale := brspread.NewKnowledge(now.Sub(state.Confirmed()), h.failed).Stale()
	if h.plan.Poller() && !stale {
		return
	}
	h.settle(h.ask(ctx, sources[h.next%len(sources)], h.hold(len(sources))))
}

// hold returns how long a source may hold the question. A VM whose source is
// of no use goes through the others quickly, once.
func (h *handler) hold(sources int) time.Duration {
	if h.useless > 0 && h.useless < sources {
		return 0
	}
	return patience
}

// Due asks for the next question soon, unless the VM hears the platform itself.
func (h *handler) Due(time.Time) (time.Duration, bool) {
	return tickPeriod, !h.plan.Poller()
}

func (h *handler) settle(v verdict) {
	before := h.failed
	if v == verdictFailed {
		h.failed++
	} else {
		h.failed = 0
	}
	if v == verdictInformed {
		h.useless = 0
	} else {
		h.useless++
		h.next++
	}
	if h.failed != before {
		h.failures.SourcesFailed(h.failed)
	}
}
