// Package brnode puts the parts of a VM together: duties, peers and fronts.
//
// # Usage
//
//	node, err := brnode.New(settings, brclock.NewSystem(), logger)
//	err = node.Run(ctx)
package brnode

import (
	"context"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/bradmission"
	"bergamotroad.example/bergamotroad/internal/duty/brbalancing"
	"bergamotroad.example/bergamotroad/internal/duty/brcertificate"
	"bergamotroad.example/bergamotroad/internal/duty/brpolling"
	"bergamotroad.example/bergamotroad/internal/duty/brrevoking"
	"bergamotroad.example/bergamotroad/internal/duty/brspreading"
	"bergamotroad.example/bergamotroad/internal/duty/brsteering"
	"bergamotroad.example/bergamotroad/internal/duty/brtimeline"
	"bergamotroad.example/bergamotroad/internal/duty/brwriting"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/peer/brentry"
	"bergamotroad.example/bergamotroad/internal/service/brfront"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
	"bergamotroad.example/bergamotroad/internal/service/brstop"
)

// Node is one VM.
type Node struct {
	settings  brsettings.Settings
	clock     brclock.Clock
	logger    *log.Logger
	timeline  *brtimeline.Timeline
	admission *bradmission.Admission
	balancing *brbalancing.Balancing
	steering  *brsteering.Steering
	spreading *brspreading.Spreading
	revoking  *brrevoking.Revoking
	polling   *brpolling.Polling
	writing   *brwriting.Writing
	requests  requestDuties
	shares    shares
	spread    spread
	keepers   map[string]*brcertificate.Keeper // by front; none for plain ones
	connector *brentry.Connector
	fronts    []*brfront.Front
	leavers   []brstop.Step
	leaving   atomic.Bool
}

// New returns a VM that listens but does not answer yet.
func New(settings brsettings.Settings, clock brclock.Clock, logger *log.Logger) (*Node, error) {
	n := &Node{settings: settings, clock: clock, logger: logger}
	if err := n.addCertificates(); err != nil {
		return nil, err
	}
	n.timeline = brtimeline.New(settings.VM(), settings.Domain(), clock)
	n.admission = bradmission.New(clock)
	n.balancing = brbalancing.New(settings.VM(), settings.Domain(), clock)
	n.steering = brsteering.New(clock)
	n.spreading = brspreading.New(clock, n.timeline)
	n.revoking = brrevoking.New(clock)
	n.spreading.Subscribe(n.admission.Snapshots())
	n.spreading.Subscribe(n.revoking.Snapshots())
	n.spreading.SubscribeConfirmed(n.admission)
	n.spreading.SubscribeConfirmed(n.revoking)
	n.spreading.Subscribe(n.balancing.Snapshots())
	n.spreading.Subscribe(n.steering.Snapshots())
	n.writing = brwriting.New(clock)
	n.spreading.Subscribe(n.writing.Snapshots())
	n.requests = newRequestDuties(settings, clock, n.timeline, n.connector)
	n.requests.subscribe(n.spreading)
	n.addShares()
	if err := n.addFronts(); err != nil {
		n.closeFronts()
		return nil, err
	}
	return n, nil
}

// Run serves until the context ends or a duty panics, then drains.
func (n *Node) Run(ctx context.Context) error {
	// The duties outlive the context, so that requests in flight finish.
	group := brduty.NewGroup(context.WithoutCancel(ctx), n.clock, &observer{logger: n.logger, events: n.timeline})
	group.Start(n.duties()...)
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

func (n *Node) metrics() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registry.MustRegister(n.spreading.Collectors()...)
	registry.MustRegister(n.spread.membership.Collectors()...)
	return registry
}
