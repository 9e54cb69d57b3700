// Package brmembership provides the duty that knows the entry VMs and what is
// believed of their life.
//
// The configuration names VMs with address and failure domain. The platform's
// list and the settings name VMs to a VM that has no configuration yet. The
// list lags, so that it says nothing of a VM's life: pings do.
//
// # Usage
//
//	membership := brmembership.New(identity, clock, list, seeds, pinging, spreading, timeline, logger)
//	membership.Subscribe(following.Members())
//	spreading.Subscribe(membership.Snapshots())
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
	"bergamotroad.example/bergamotroad/internal/decide/brobservation"
	"bergamotroad.example/bergamotroad/internal/decide/brspread"
	"bergamotroad.example/bergamotroad/internal/duty/brpinging"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
	"bergamotroad.example/bergamotroad/internal/peer/brvmlist"
)

const (
	queueCapacity = 1024 // messages
	tickPeriod    = time.Second
	// listPeriod is the time between two readings of the platform's list, once
	// a configuration is in force.
	listPeriod = 30 * time.Second
	// urgentPeriod is the least time between two rounds of pings.
	urgentPeriod = 200 * time.Millisecond
)

// Identity is this VM as others know it.
type Identity struct {
	vm     string
	domain string
}

// NewIdentity returns a VM of a failure domain.
func NewIdentity(vm, domain string) Identity {
	return Identity{vm: vm, domain: domain}
}

// Pinging sends pings.
type Pinging interface {
	// Ping sends a round of pings without waiting.
	Ping(calls []brpinging.Call)
}

// Generations knows the generation that is in force on this VM.
type Generations interface {
	// Generation returns the VM's own generation.
	Generation() uint64
}

type message struct {
	outcomes []brpinging.Outcome
	leave    bool
	ping     brmember.Ping
	reply    brring.Reply[brmember.Ping]
}

// Membership is the duty with the calls that reach it.
type Membership struct {
	duty    *brduty.Duty[message, *brconfig.Snapshot]
	answers *brring.ReplyPool[brmember.Ping]
	handler *handler
}

// New returns the duty. The seeds are host:port of VMs to ask before a
// configuration is in force.
func New(identity Identity, clock brclock.Clock, list brvmlist.List, seeds []string, pinging Pinging, generations Generations, events brevent.Recorder, logger *log.Logger) *Membership {
	now := clock.Now()
	h := &handler{
		identity:    identity,
		clock:       clock,
		list:        list,
		logger:      logger,
		pinging:     pinging,
		generations: generations,
		events:      events,
		metrics:     newMetrics(),
		snapshot:    brconfig.NewSnapshot(),
		view:        brobservation.NewView(identity.vm, identity.domain, uint64(now.UnixMilli()), now),
		firstRound:  now.Add(jitter(identity.vm)),
	}
	for _, address := range seeds {
		h.seeds = append(h.seeds, brmember.New(address, "", address))
	}
	return &Membership{
		duty:    brduty.New[message, *brconfig.Snapshot]("membership", h, clock, brduty.WithPeriod(tickPeriod), brduty.WithCapacity(queueCapacity)),
		answers: brring.NewReplyPool[brmember.Ping](),
		handler: h,
	}
}

// jitter spreads the first rounds of VMs that start together.
func jitter(vm string) time.Duration {
	return time.Duration(xxhash.Sum64String(vm) % uint64(tickPeriod))
}

// Duty returns the duty to be started.
func (m *Membership) Duty() brduty.Runner { return m.duty }

// Snapshots returns the ring that takes the configuration.
func (m *Membership) Snapshots() *brring.Latest[*brconfig.Snapshot] { return m.duty.Snapshots() }

// Subscribe sends every later list of VMs to a ring. It is called before the duty starts.
func (m *Membership) Subscribe(ring *brring.Latest[brmember.List]) {
	m.handler.subscribers = append(m.handler.subscribers, ring)
}

// Hear takes the ping of another VM and returns the answer.
func (m *Membership) Hear(ctx context.Context, ping brmember.Ping) (brmember.Ping, error) {
	answer, err := brring.Ask(ctx, m.duty.Queue(), m.answers, func(reply brring.Reply[brmember.Ping]) message {
		return message{ping: ping, reply: reply}
	})
	if err != nil {
		return brmember.Ping{}, errors.Errorf("hear ping of %s: %w", ping.Name(), err)
	}
	return answer, nil
}

// Pinged takes the outcomes of a round of pings.
func (m *Membership) Pinged(outcomes []brpinging.Outcome) {
	_ = m.duty.Queue().Send(message{outcomes: outcomes})
}

// Leave tells other VMs that this one leaves, without waiting for their answers.
func (m *Membership) Leave(ctx context.Context) error {
	_, err := brring.Ask(ctx, m.duty.Queue(), m.answers, func(reply brring.Reply[brmember.Ping]) message {
		return message{leave: true, reply: reply}
	})
	if err != nil {
		return errors.Errorf("leave other VMs: %w", err)
	}
	return nil
}

type handler struct {
	identity    Identity
	clock       brclock.Clock
	list        brvmlist.List
	logger      *log.Logger
	pinging     Pinging
	generations Generations
	events      brevent.Recorder
	metrics     *metrics
	seeds       []brmember.Member
	subscribers []*brring.Latest[brmember.List]
	snapshot    *brconfig.Snapshot
	view        *brobservation.View
	listed      []brmember.Member
	lastList    time.Time
	firstRound  time.Time
	lastRound   time.Time
}

// Handle takes a ping, what became of own pings, or that this VM leaves.
func (h *handler) Handle(_ context.Context, m message) {
	now := h.clock.Now()
	switch {
	case m.leave:
		h.view.Leave()
		h.send(h.view.Farewell())
		m.reply.Answer(brmember.Ping{})
	case m.reply.Expected():
		h.view.Hear(now, m.ping)
		m.reply.Answer(h.view.Ping(m.ping.Name(), h.generations.Generation()))
	default:
		h.settle(now, m.outcomes)
	}
	h.report()
	if h.view.Urgent() && now.Sub(h.lastRound) >= urgentPeriod {
		h.round(now)
	}
}

func (h *handler) settle(now time.Time, outcomes []brpinging.Outcome) {
	for _, o := range outcomes {
		if o.Err() != nil {
			h.view.Miss(now, o.Name())
			continue
		}
		h.view.Hear(now, o.Answer())
	}
}

// Update takes a new configuration.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	changed := snapshot.TouchedSince(h.snapshot.Generation(), brconfig.KindVM, brconfig.KindSite)
	h.snapshot = snapshot
	if changed {
		h.learn()
	}
}

// Due asks for the first round and for rounds that tell of something new.
func (h *handler) Due(now time.Time) (time.Duration, bool) {
	if h.lastRound.IsZero() {
		return h.firstRound.Sub(now), true
	}
	return h.lastRound.Add(urgentPeriod).Sub(now), h.view.Urgent()
}

// Tick sends a round of pings and reads the platform's list when it is due.
func (h *handler) Tick(ctx context.Context, now time.Time) {
	h.round(now)
	if h.snapshot.Generation() > 0 && now.Sub(h.lastList) < listPeriod {
		return
	}
	h.lastList = now
	entries, err := h.list.List(ctx)
	if err != nil {
		h.logger.Debug("list of VMs not read", "error", err)
	} else {
		h.listed = membersOf(entries)
	}
	h.learn()
}

func (h *handler) round(now time.Time) {
	h.lastRound = now
	h.view.Advance(now)
	h.report()
	h.send(h.view.Targets())
}

func (h *handler) send(targets []brmember.Member) {
	generation := h.generations.Generation()
	calls := make([]brpinging.Call, 0, len(targets))
	for _, t := range targets {
		calls = append(calls, brpinging.NewCall(t.Name(), t.Address(), h.view.Ping(t.Name(), generation)))
	}
	h.pinging.Ping(calls)
}

func (h *handler) learn() {
	others := h.listed
	if h.snapshot.Generation() == 0 {
		others = append(h.seeds[:len(h.seeds):len(h.seeds)], h.listed...)
	}
	h.view.Learn(brspread.Directory(h.snapshot, others))
	h.publish()
}

// report tells what changed since the last call.
func (h *handler) report() {
	for _, c := range h.view.Events() {
		h.events.Record(brevent.New(kindOf(c.State())).WithResource(c.Name()))
	}
	if h.view.Changed() {
		h.publish()
	}
}

func (h *handler) publish() {
	list := h.view.Members()
	h.metrics.count(list)
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
