// Package brnode assembles a VM: it creates the duties, the clients of peers and the
// fronts, connects them, and runs them until the VM stops.
//
// A VM has three fronts: one for callers, one for the other entry VMs (peers) and
// one for operators. The duties are joined by rings: each new configuration
// snapshot and each change of the membership goes to the ring of every duty that
// subscribed to it.
//
// When its context ends, the VM first announces that it leaves and keeps serving
// until callers have stopped using it; see OnLeave and Run.
//
// # Usage
//
//	node, err := brnode.New(settings, brclock.NewSystem(), logger)
//	err = node.Run(ctx)
package brnode

import (
	"context"
	"runtime/debug"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/decide/brmemory"
	"bergamotroad.example/bergamotroad/internal/duty/bradmission"
	"bergamotroad.example/bergamotroad/internal/duty/brbalancer"
	"bergamotroad.example/bergamotroad/internal/duty/brcertificate"
	"bergamotroad.example/bergamotroad/internal/duty/brdistributor"
	"bergamotroad.example/bergamotroad/internal/duty/brlocator"
	"bergamotroad.example/bergamotroad/internal/duty/brpoller"
	"bergamotroad.example/bergamotroad/internal/duty/brproposal"
	"bergamotroad.example/bergamotroad/internal/duty/brratelimit"
	"bergamotroad.example/bergamotroad/internal/duty/brrevocation"
	"bergamotroad.example/bergamotroad/internal/duty/brtimeline"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/peer/brentry"
	"bergamotroad.example/bergamotroad/internal/service/brfront"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
	"bergamotroad.example/bergamotroad/internal/service/brshutdown"
)

// Node is one VM.
type Node struct {
	settings          brsettings.Settings
	clock             brclock.Clock
	logger            *log.Logger
	timeline          *brtimeline.Timeline
	admission         *bradmission.Admission
	balancer          *brbalancer.Balancer
	proposalWriter    *brproposal.Writer
	locator           *brlocator.Locator
	distributor       *brdistributor.Distributor
	revoker           *brrevocation.Revoker
	poller            *brpoller.Poller
	writeLimiter      *brratelimit.Limiter
	requests          requestDuties
	shares            shareDuties
	claims            claimDuties
	configuration     configurationDuties
	certificateStores map[string]*brcertificate.Store // by front; plain fronts have none
	connector         *brentry.Connector
	fronts            []*brfront.Front
	leaveSteps        []brshutdown.Step
	leaving           atomic.Bool
	observer          *observer
	runningDuties     []brduty.Runner // set before the fronts start to serve
}

// New returns a VM whose fronts listen, but do not serve before Run.
func New(settings brsettings.Settings, clock brclock.Clock, logger *log.Logger) (*Node, error) {
	if memory := settings.Memory(); memory > 0 {
		debug.SetMemoryLimit(brmemory.RuntimeLimit(memory))
	}
	n := &Node{settings: settings, clock: clock, logger: logger}
	if err := n.addCertificates(); err != nil {
		return nil, err
	}
	n.timeline = brtimeline.New(settings.VM(), settings.Domain(), clock)
	n.observer = newObserver(logger, n.timeline)
	n.admission = bradmission.New(clock)
	n.balancer = brbalancer.New(settings.VM(), settings.Domain(), clock)
	n.locator = brlocator.New(clock)
	n.distributor = brdistributor.New(clock, n.timeline)
	n.revoker = brrevocation.New(clock)
	n.distributor.Subscribe(n.admission.Snapshots())
	n.distributor.Subscribe(n.revoker.Snapshots())
	n.distributor.SubscribeConfirmations(n.admission)
	n.distributor.SubscribeConfirmations(n.revoker)
	n.distributor.Subscribe(n.balancer.Snapshots())
	n.distributor.Subscribe(n.locator.Snapshots())
	n.writeLimiter = brratelimit.New(clock)
	n.distributor.Subscribe(n.writeLimiter.Snapshots())
	n.requests = newRequestDuties(settings, clock, n.timeline, n.connector)
	n.requests.subscribe(n.distributor)
	n.addShares()
	if err := n.addFronts(); err != nil {
		n.closeFronts()
		return nil, err
	}
	return n, nil
}

// Run serves until the context ends, a duty panics or a front fails. It then stops
// the VM in order and returns what failed.
func (n *Node) Run(ctx context.Context) error {
	// The duties are not cancelled with ctx, so that requests in flight can finish.
	group := brduty.NewGroup(context.WithoutCancel(ctx), n.clock, n.observer)
	n.runningDuties = n.duties()
	group.Start(n.runningDuties...)
	defer group.Stop()
	failures := n.serve()
	n.timeline.Record(brevent.New(brevent.KindVMStarted))
	n.logger.Info("VM started", "vm", n.settings.VM(), "domain", n.settings.Domain())
	select {
	case <-ctx.Done():
		return n.stop(ctx, nil)
	case <-group.Context().Done():
		return n.stop(ctx, context.Cause(group.Context()))
	case err := <-failures:
		return n.stop(ctx, err)
	}
}
