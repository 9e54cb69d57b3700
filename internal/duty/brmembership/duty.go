// Package brmembership provides the duty that knows the entry VMs.
//
// The configuration names VMs with address and failure domain. The platform's
// list and the settings name VMs to a VM that has no configuration yet. The
// list lags, so that a VM is not taken for gone because the list omits it.
//
// # Usage
//
//	membership := brmembership.New(clock, list, seeds, logger)
//	membership.Subscribe(following.Members())
//	spreading.Subscribe(membership.Snapshots())
//	group.Start(membership.Duty())
package brmembership

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brspread"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
	"bergamotroad.example/bergamotroad/internal/peer/brvmlist"
)

const (
	tickPeriod = time.Second
	// listPeriod is the time between two readings of the platform's list, once
	// a configuration is in force.
	listPeriod = 30 * time.Second
)

// Membership is the duty.
type Membership struct {
	duty    *brduty.Duty[struct{}, *brconfig.Snapshot]
	handler *handler
}

// New returns the duty. The seeds are host:port of VMs to ask before a
// configuration is in force.
func New(clock brclock.Clock, list brvmlist.List, seeds []string, logger *log.Logger) *Membership {
	h := &handler{list: list, logger: logger, snapshot: brconfig.NewSnapshot()}
	for _, address := range seeds {
		h.seeds = append(h.seeds, brmember.New(address, "", address))
	}
	return &Membership{
		duty:    brduty.New[struct{}, *brconfig.Snapshot]("membership", h, clock, brduty.WithPeriod(tickPeriod)),
		handler: h,
	}
}

// Duty returns the duty to be started.
func (m *Membership) Duty() brduty.Runner { return m.duty }

// Snapshots returns the ring that takes the configuration.
func (m *Membership) Snapshots() *brring.Latest[*brconfig.Snapshot] { return m.duty.Snapshots() }

// Subscribe sends every later list of VMs to a ring. It is called before the duty starts.
func (m *Membership) Subscribe(ring *brring.Latest[brmember.List]) {
	m.handler.subscribers = append(m.handler.subscribers, ring)
}

type handler struct {
	list        brvmlist.List
	logger      *log.Logger
	seeds       []brmember.Member
	subscribers []*brring.Latest[brmember.List]
	snapshot    *brconfig.Snapshot
	listed      []brmember.Member
	lastList    time.Time
}

// Handle does nothing: no messages are sent to this duty.
func (*handler) Handle(context.Context, struct{}) {}

// Update takes a new configuration.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	changed := snapshot.TouchedSince(h.snapshot.Generation(), brconfig.KindVM, brconfig.KindSite)
	h.snapshot = snapshot
	if changed {
		h.publish()
	}
}

// Tick reads the platform's list when it is due.
func (h *handler) Tick(ctx context.Context, now time.Time) {
	if h.snapshot.Generation() > 0 && now.Sub(h.lastList) < listPeriod {
		return
	}
	h.lastList = now
	entries, err := h.list.List(ctx)
	if err != nil {
		h.logger.Debug("list of VMs not read", "error", err)
		if h.snapshot.Generation() == 0 {
			h.publish()
		}
		return
	}
	h.listed = membersOf(entries)
	h.publish()
}

func (h *handler) publish() {
	others := h.listed
	if h.snapshot.Generation() == 0 {
		others = append(h.seeds[:len(h.seeds):len(h.seeds)], h.listed...)
	}
	list := brspread.Directory(h.snapshot, others)
	for _, ring := range h.subscribers {
		_ = ring.Send(list)
	}
}

func membersOf(entries []brvmlist.Entry) []brmember.Member {
	members := make([]brmember.Member, 0, len(entries))
	for _, e := range entries {
		member := brmember.New(e.Name(), "", e.Address())
		if e.Leaving() {
			member = member.WithState(brmember.StateLeft)
		}
		members = append(members, member)
	}
	return members
}
