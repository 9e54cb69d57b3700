// Package brbroadcaster provides the duty that broadcasts notices of poison requests to
// other VMs.
//
// It sends each notice to all VMs of its failure domain and to one VM of each other
// failure domain, which relays it to the VMs of its own.
//
// # Usage
//
//	broadcaster := brbroadcaster.New("vm-1", "montevideo-a", clock, client)
//	group.Start(broadcaster.Duty())
//	broadcaster.Broadcast(notice)
package brbroadcaster

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	queueCapacity = 256 // notices
	sendTimeout   = 500 * time.Millisecond
)

// Client sends notices to other entry VMs.
type Client interface {
	// SendPoison sends a notice to the VM at an address, host:port.
	SendPoison(ctx context.Context, address string, notice brrequest.PoisonNotice) error
}

// Broadcaster is the handle of the duty; its methods may be called from any goroutine.
type Broadcaster struct {
	duty *brduty.Duty[brrequest.PoisonNotice, *brconfig.Snapshot]
}

// New returns the duty of a VM in a failure domain.
func New(vm, domain string, clock brclock.Clock, client Client) *Broadcaster {
	h := &handler{vm: vm, domain: domain, client: client}
	return &Broadcaster{duty: brduty.New("telling", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithoutTicks())}
}

// Duty returns the runner to be passed to a brduty.Group.
func (b *Broadcaster) Duty() brduty.Runner { return b.duty }

// Snapshots returns the ring that receives the configuration.
func (b *Broadcaster) Snapshots() *brring.Latest[*brconfig.Snapshot] { return b.duty.Snapshots() }

// Broadcast queues a notice for the broadcast without waiting for it to be sent.
func (b *Broadcaster) Broadcast(notice brrequest.PoisonNotice) {
	_ = b.duty.Queue().Send(notice)
}

type handler struct {
	vm           string
	domain       string
	client       Client
	ownDomain    []string            // addresses of the other VMs of this failure domain
	otherDomains map[string][]string // addresses of the VMs of each other failure domain
}

// Handle broadcasts one notice. A relayed notice is sent only within this VM's
// failure domain.
func (h *handler) Handle(ctx context.Context, notice brrequest.PoisonNotice) {
	for _, address := range h.ownDomain {
		h.send(ctx, address, notice.WithRelayed(false))
	}
	if notice.Relayed() {
		return
	}
	for _, addresses := range h.otherDomains {
		h.sendToAny(ctx, addresses, notice.WithRelayed(true))
	}
}

// sendToAny sends a notice to the addresses in turn until one VM accepts it.
func (h *handler) sendToAny(ctx context.Context, addresses []string, notice brrequest.PoisonNotice) {
	for _, address := range addresses {
		if h.send(ctx, address, notice) {
			return
		}
	}
}

func (h *handler) send(ctx context.Context, address string, notice brrequest.PoisonNotice) bool {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return h.client.SendPoison(ctx, address, notice) == nil
}

// Update replaces the addresses by those of a new configuration.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	h.ownDomain = nil
	h.otherDomains = map[string][]string{}
	for v := range snapshot.VMs().All() {
		site, ok := snapshot.Sites().Get(v.Site()).Get()
		switch {
		case !ok || v.Name() == h.vm:
		case site.Domain() == h.domain:
			h.ownDomain = append(h.ownDomain, v.PeerAddress())
		default:
			h.otherDomains[site.Domain()] = append(h.otherDomains[site.Domain()], v.PeerAddress())
		}
	}
}

// Tick does nothing: this duty has no periodic work.
func (*handler) Tick(context.Context, time.Time) {}
