// Package brnode puts the parts of a VM together: duties, peers and fronts.
//
// # Usage
//
//	node, err := brnode.New(settings, brclock.NewSystem(), logger)
//	err = node.Run(ctx)
package brnode

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/bradmission"
	"bergamotroad.example/bergamotroad/internal/duty/brbalancing"
	"bergamotroad.example/bergamotroad/internal/duty/brpolling"
	"bergamotroad.example/bergamotroad/internal/duty/brspreading"
	"bergamotroad.example/bergamotroad/internal/duty/brsteering"
	"bergamotroad.example/bergamotroad/internal/duty/brtimeline"
	"bergamotroad.example/bergamotroad/internal/duty/brwriting"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/peer/brbackend"
	"bergamotroad.example/bergamotroad/internal/peer/brcaller"
	"bergamotroad.example/bergamotroad/internal/peer/brentry"
	"bergamotroad.example/bergamotroad/internal/peer/brobject"
	"bergamotroad.example/bergamotroad/internal/peer/broperator"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
	"bergamotroad.example/bergamotroad/internal/service/bradministration"
	"bergamotroad.example/bergamotroad/internal/service/brdispatch"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
)

const (
	drainTimeout      = 30 * time.Second
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 32 << 10
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
	polling   *brpolling.Polling
	writing   *brwriting.Writing
	fronts    []front
}

type front struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// New returns a VM that listens but does not answer yet.
func New(settings brsettings.Settings, clock brclock.Clock, logger *log.Logger) (*Node, error) {
	n := &Node{settings: settings, clock: clock, logger: logger}
	n.timeline = brtimeline.New(settings.VM(), settings.Domain(), clock)
	n.admission = bradmission.New(clock)
	n.balancing = brbalancing.New(settings.Domain(), clock)
	n.steering = brsteering.New(clock)
	n.spreading = brspreading.New(clock, n.timeline)
	n.spreading.Subscribe(n.admission.Snapshots())
	n.spreading.Subscribe(n.balancing.Snapshots())
	n.spreading.Subscribe(n.steering.Snapshots())
	n.writing = brwriting.New(clock)
	n.spreading.Subscribe(n.writing.Snapshots())
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

func (n *Node) duties() []brduty.Runner {
	return []brduty.Runner{
		n.timeline.Duty(),
		n.admission.Duty(),
		n.balancing.Duty(),
		n.steering.Duty(),
		n.spreading.Duty(),
		n.polling.Duty(),
		n.writing.Duty(),
	}
}

func (n *Node) addFronts() error {
	platform := n.settings.Platform()
	client := &http.Client{}
	table := brtable.NewClient(client, platform.Table(), platform.Timeout())
	objects := brobject.NewClient(client, platform.Objects(), platform.Timeout())
	n.polling = brpolling.New(n.clock, table, objects, n.spreading, n.logger)

	dispatcher := brdispatch.New(n.clock, n.admission, n.balancing, brbackend.NewClient(brbackend.NewTransport()), n.timeline)
	callers, err := brcaller.NewHandler(n.clock, dispatcher, n.steering)
	if err != nil {
		return errors.Errorf("make callers' front: %w", err)
	}
	administration := bradministration.New(n.clock, accessPolicy(n.settings.Administration()), n.writing, n.spreading, table, objects, n.timeline)
	operators, err := broperator.NewHandler(n.settings.VM(), administration, n.timeline, n.metrics())
	if err != nil {
		return errors.Errorf("make operators' front: %w", err)
	}
	return errors.Join(
		n.addFront("callers", n.settings.Callers(), callers),
		n.addFront("peers", n.settings.Peers(), brentry.NewHandler(n.spreading, n.timeline)),
		n.addFront("operators", n.settings.Operators(), operators),
	)
}

func (n *Node) addFront(name string, settings brsettings.Front, handler http.Handler) error {
	listener, err := net.Listen("tcp", settings.Address())
	if err != nil {
		return errors.Errorf("listen for %s: %w", name, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	n.fronts = append(n.fronts, front{name: name, server: server, listener: listener})
	return nil
}

func (n *Node) closeFronts() {
	for _, f := range n.fronts {
		_ = f.listener.Close()
	}
}

func (*Node) metrics() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

func (n *Node) serve() <-chan error {
	failures := make(chan error, len(n.fronts))
	for _, f := range n.fronts {
		go func() {
			err := f.server.Serve(f.listener)
			if !errors.Is(err, http.ErrServerClosed) {
				failures <- errors.Errorf("serve %s: %w", f.name, err)
			}
		}()
	}
	return failures
}

// stop drains the fronts and returns the cause with what went wrong meanwhile.
func (n *Node) stop(ctx context.Context, cause error) error {
	n.logger.Info("VM stops", "vm", n.settings.VM(), "cause", cause)
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	faults := []error{}
	for _, f := range n.fronts {
		if err := f.server.Shutdown(drain); err != nil {
			faults = append(faults, errors.Errorf("drain %s: %w", f.name, err))
		}
	}
	return errors.Join(append(faults, cause)...)
}
