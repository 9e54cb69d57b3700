// Package brmembership provides the duty that maintains the list of entry VMs with
// the liveness state of each.
//
// VMs, their addresses and failure domains come from the configuration. A VM that
// has no configuration yet uses the platform's list of VMs and the settings. The
// platform's list lags behind, so liveness is determined by pings and never by that
// list.
//
// # Usage
//
//	membership := brmembership.New(identity, clock, list, seeds, pinger, distributor, timeline, logger)
//	membership.Subscribe(follower.Members())
//	distributor.Subscribe(membership.Snapshots())
//	group.Start(membership.Duty())
//	err := membership.Leave(ctx)
package brmembership

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brdistribution"
	"bergamotroad.example/bergamotroad/internal/decide/brliveness"
	"bergamotroad.example/bergamotroad/internal/duty/brpinger"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
	"bergamotroad.example/bergamotroad/internal/peer/brvmlist"
)

const (
	queueCapacity = 1024 // messages
	tickPeriod    = time.Second
	// listPeriod is the time between two reads of the platform's list once a
	// configuration is in force.
	listPeriod = 30 * time.Second
	// minRoundPeriod is the minimum time between two rounds of pings while a change has
	// not been sent to any VM yet.
	minRoundPeriod = 200 * time.Millisecond
)

// Identity is the name and failure domain of this VM.
type Identity struct {
	vm     string
	domain string
}

// NewIdentity returns the identity of a VM in a failure domain.
func NewIdentity(vm, domain string) Identity {
	return Identity{vm: vm, domain: domain}
}

// Pinger sends pings.
type Pinger interface {
	// Ping queues a round of pings without waiting for the responses.
	Ping(requests []brpinger.Request)
}

// GenerationSource provides the generation of the configuration in force on this VM.
type GenerationSource interface {
	// Generation returns the current generation.
	Generation() uint64
}

type message struct {
	results []brpinger.Result
	leave   bool
	ping    brmember.Ping
	reply   brring.Reply[brmember.Ping]
}

// Membership is the handle of the duty; its methods may be called from any goroutine.
type Membership struct {
	duty    *brduty.Duty[message, *brconfig.Snapshot]
	replies *brring.ReplyPool[brmember.Ping]
	handler *handler
}

// New returns the duty. The seeds are addresses, host:port, of VMs to ping before a
// configuration is in force.
func New(identity Identity, clock brclock.Clock, list brvmlist.List, seeds []string, pinger Pinger, generations GenerationSource, events brevent.Recorder, logger *log.Logger) *Membership {
	now := clock.Now()
	h := &handler{
		identity:    identity,
		clock:       clock,
		list:        list,
		logger:      logger,
		pinger:      pinger,
		generations: generations,
		events:      events,
		metrics:     newMetrics(),
		snapshot:    brconfig.NewSnapshot(),
		view:        brliveness.NewView(identity.vm, identity.domain, uint64(now.UnixMilli()), now),
		firstRound:  now.Add(jitter(identity.vm)),
	}
	for _, address := range seeds {
		h.seeds = append(h.seeds, brmember.New(address, "", address))
	}
	return &Membership{
		duty:    brduty.New[message, *brconfig.Snapshot]("membership", h, clock, brduty.WithPeriod(tickPeriod), brduty.WithCapacity(queueCapacity)),
		replies: brring.NewReplyPool[brmember.Ping](),
		handler: h,
	}
}

// jitter returns the delay of a VM's first round, which spreads the rounds of VMs
// that start together.
func jitter(vm string) time.Duration {
	return time.Duration(xxhash.Sum64String(vm) % uint64(tickPeriod))
}

// Duty returns the runner to be passed to a brduty.Group.
func (m *Membership) Duty() brduty.Runner { return m.duty }

// Snapshots returns the ring that receives the configuration.
func (m *Membership) Snapshots() *brring.Latest[*brconfig.Snapshot] { return m.duty.Snapshots() }

// Subscribe registers a ring that receives every new list of VMs. It must be called
// before the duty starts.
func (m *Membership) Subscribe(ring *brring.Latest[brmember.List]) {
	m.handler.subscribers = append(m.handler.subscribers, ring)
}

// HandlePing processes a ping from another VM and returns the response to it.
func (m *Membership) HandlePing(ctx context.Context, ping brmember.Ping) (brmember.Ping, error) {
	answer, err := brring.Ask(ctx, m.duty.Queue(), m.replies, func(reply brring.Reply[brmember.Ping]) message {
		return message{ping: ping, reply: reply}
	})
	if err != nil {
		return brmember.Ping{}, errors.Errorf("process ping from %s: %w", ping.Name(), err)
	}
	return answer, nil
}

// HandleResults processes the results of a round of pings.
func (m *Membership) HandleResults(results []brpinger.Result) {
	_ = m.duty.Queue().Send(message{results: results})
}

// Leave announces to other VMs that this VM shuts down, without waiting for their
// responses.
func (m *Membership) Leave(ctx context.Context) error {
	_, err := brring.Ask(ctx, m.duty.Queue(), m.replies, func(reply brring.Reply[brmember.Ping]) message {
		return message{leave: true, reply: reply}
	})
	if err != nil {
		return errors.Errorf("announce leave to other VMs: %w", err)
	}
	return nil
}

type handler struct {
	identity     Identity
	clock        brclock.Clock
	list         brvmlist.List
	logger       *log.Logger
	pinger       Pinger
	generations  GenerationSource
	events       brevent.Recorder
	metrics      *metrics
	seeds        []brmember.Member
	subscribers  []*brring.Latest[brmember.List]
	snapshot     *brconfig.Snapshot
	view         *brliveness.View
	listed       []brmember.Member
	lastListRead time.Time
	firstRound   time.Time
	lastRound    time.Time
}

// Handle processes a ping, the results of this VM's own pings, or a call of Leave.
func (h *handler) Handle(_ context.Context, m message) {
	now := h.clock.Now()
	switch {
	case m.leave:
		h.view.Leave()
		h.sendPings(h.view.LeaveTargets())
		m.reply.Answer(brmember.Ping{})
	case m.reply.IsExpected():
		h.view.Receive(now, m.ping)
		m.reply.Answer(h.view.Ping(m.ping.Name(), h.generations.Generation()))
	default:
		h.recordResults(now, m.results)
	}
	h.reportChanges()
	if h.view.HasUnsent() && now.Sub(h.lastRound) >= minRoundPeriod {
		h.runRound(now)
	}
}

func (h *handler) recordResults(now time.Time, results []brpinger.Result) {
	for _, r := range results {
		if r.Err() != nil {
			h.view.RecordMiss(now, r.Name())
			continue
		}
		h.view.Receive(now, r.Response())
	}
}

// Update applies a new configuration.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	changed := snapshot.KindsChangedSince(h.snapshot.Generation(), brconfig.KindVM, brconfig.KindSite)
	h.snapshot = snapshot
	if changed {
		h.updateMembers()
	}
}

// Due requests ticks for the first round and for rounds that send new changes.
func (h *handler) Due(now time.Time) (time.Duration, bool) {
	if h.lastRound.IsZero() {
		return h.firstRound.Sub(now), true
	}
	return h.lastRound.Add(minRoundPeriod).Sub(now), h.view.HasUnsent()
}

// Tick sends a round of pings and, when it is due, reads the platform's list.
func (h *handler) Tick(ctx context.Context, now time.Time) {
	h.runRound(now)
	if h.snapshot.Generation() > 0 && now.Sub(h.lastListRead) < listPeriod {
		return
	}
	h.lastListRead = now
	entries, err := h.list.List(ctx)
	if err != nil {
		h.logger.Debug("failed to read list of VMs", "error", err)
	} else {
		h.listed = membersOf(entries)
	}
	h.updateMembers()
}

func (h *handler) runRound(now time.Time) {
	h.lastRound = now
	h.view.Advance(now)
	h.reportChanges()
	h.sendPings(h.view.Targets())
}

func (h *handler) sendPings(targets []brmember.Member) {
	generation := h.generations.Generation()
	requests := make([]brpinger.Request, 0, len(targets))
	for _, t := range targets {
		requests = append(requests, brpinger.NewRequest(t.Name(), t.Address(), h.view.Ping(t.Name(), generation)))
	}
	h.pinger.Ping(requests)
}

func (h *handler) updateMembers() {
	others := h.listed
	if h.snapshot.Generation() == 0 {
		others = append(h.seeds[:len(h.seeds):len(h.seeds)], h.listed...)
	}
	h.view.SetMembers(brdistribution.Members(h.snapshot, others))
	h.publish()
}

// reportChanges records events for the changes of state since the last call and publishes
// the list if it changed.
func (h *handler) reportChanges() {
	for _, c := range h.view.TakeEvents() {
		h.events.Record(brevent.New(kindOf(c.State())).WithResource(c.Name()))
	}
	if h.view.TakeChanged() {
		h.publish()
	}
}

func (h *handler) publish() {
	list := h.view.Members()
	h.metrics.update(list)
	for _, ring := range h.subscribers {
		_ = ring.Send(list)
	}
}

func kindOf(state brmember.State) brevent.Kind {
	switch state {
	case brmember.StateSuspected:
		return brevent.KindMemberSuspected
	case brmember.StateDead:
		return brevent.KindMemberDead
	case brmember.StateLeft:
		return brevent.KindMemberLeft
	default:
		return brevent.KindMemberJoined
	}
}

func membersOf(entries []brvmlist.Entry) []brmember.Member {
	members := make([]brmember.Member, 0, len(entries))
	for _, e := range entries {
		members = append(members, brmember.New(e.Name(), "", e.Address()))
	}
	return members
}
