// Package brconfirmation provides the duty that confirms the configuration through the
// witnesses while the platform's table can't be read.
//
// Only the VMs that poll the table on behalf of their failure domain ask the witnesses,
// and only once their own last confirmation is stale. The other VMs receive the
// confirmation from them.
//
// # Usage
//
//	confirmer := brconfirmation.New("vm-1", "montevideo-a", clock, distributor, dialer)
//	membership.Subscribe(confirmer.Members())
//	group.Start(confirmer.Duty())
package brconfirmation

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brdistribution"
	"bergamotroad.example/bergamotroad/internal/decide/brwitness"
	"bergamotroad.example/bergamotroad/internal/duty/brattester"
	"bergamotroad.example/bergamotroad/internal/duty/brdistributor"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

const (
	tickPeriod = 500 * time.Millisecond
	// attestTimeout is the timeout of a call to one witness.
	attestTimeout = 300 * time.Millisecond
)

// Dialer calls witnesses.
type Dialer interface {
	// Attest requests an attestation from the VM at host:port.
	Attest(ctx context.Context, address string) (brattester.Attestation, error)
}

// Confirmer is the duty.
type Confirmer struct {
	duty *brduty.Duty[struct{}, brmember.List]
}

// New returns the duty of a VM. It reports confirmations to the distributor.
func New(vm, domain string, clock brclock.Clock, distributor *brdistributor.Distributor, dialer Dialer) *Confirmer {
	h := &handler{
		vm:          vm,
		domain:      domain,
		clock:       clock,
		distributor: distributor,
		dialer:      dialer,
		plan:        brdistribution.NewPlan(vm, domain, nil),
	}
	return &Confirmer{duty: brduty.New[struct{}, brmember.List]("inquiring", h, clock, brduty.WithPeriod(tickPeriod))}
}

// Duty returns the duty for a group to start.
func (c *Confirmer) Duty() brduty.Runner { return c.duty }

// Members returns the ring that receives the list of members.
func (c *Confirmer) Members() *brring.Latest[brmember.List] { return c.duty.Snapshots() }

type handler struct {
	vm          string
	domain      string
	clock       brclock.Clock
	distributor *brdistributor.Distributor
	dialer      Dialer
	plan        brdistribution.Plan
}

// Handle does nothing: the duty receives no messages.
func (*handler) Handle(context.Context, struct{}) {}

// Update recomputes which VMs poll the table.
func (h *handler) Update(_ context.Context, members brmember.List) {
	h.plan = brdistribution.NewPlan(h.vm, h.domain, members.All())
}

// Tick asks all witnesses if the last confirmation is stale and this VM polls for its
// failure domain.
func (h *handler) Tick(ctx context.Context, now time.Time) {
	state, err := h.distributor.State(ctx)
	if err != nil || state.Confirmed().IsZero() {
		return
	}
	stale := brdistribution.NewFreshness(now.Sub(state.Confirmed()), 0).Stale()
	if !stale || !h.plan.IsPoller() {
		return
	}
	askedAt := h.clock.Now()
	confirmedAt, ok := h.askWitnesses(ctx, state, askedAt).Confirmed().Get()
	if !ok {
		return
	}
	_, _ = h.distributor.Confirm(ctx, state.Head(), confirmedAt, false)
}

func (h *handler) askWitnesses(ctx context.Context, state brdistributor.State, askedAt time.Time) *brwitness.Attestations {
	names := brwitness.Choose(state.Snapshot())
	attestations := brwitness.NewAttestations(names, askedAt)
	for _, name := range names {
		attestation, err := h.attest(ctx, state.Snapshot(), name)
		if err != nil {
			return attestations
		}
		attestations.Add(name, attestation.Quiet(), attestation.Head() == state.Head())
	}
	return attestations
}

func (h *handler) attest(ctx context.Context, snapshot *brconfig.Snapshot, name string) (brattester.Attestation, error) {
	vm, _ := snapshot.VMs().Get(name).Get()
	ctx, cancel := context.WithTimeout(ctx, attestTimeout)
	defer cancel()
	return h.dialer.Attest(ctx, vm.PeerAddress())
}
