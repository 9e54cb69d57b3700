package brnode

import (
	"net/http"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/duty/brproposal"
	"bergamotroad.example/bergamotroad/internal/peer/brcaller"
	"bergamotroad.example/bergamotroad/internal/peer/brobject"
	"bergamotroad.example/bergamotroad/internal/peer/broperator"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
	"bergamotroad.example/bergamotroad/internal/service/bradministration"
	"bergamotroad.example/bergamotroad/internal/service/brdispatch"
	"bergamotroad.example/bergamotroad/internal/service/brfront"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
)

func (n *Node) addFronts() error {
	platform := n.settings.Platform()
	client := &http.Client{}
	table := brtable.NewClient(client, platform.Table(), platform.Timeout())
	objects := brobject.NewClient(client, platform.Objects(), platform.Timeout())
	n.addConfigurationDuties(client, table, objects)
	n.addClaims(table)

	dispatcher := n.requests.dispatcher(n)
	instrumented := brdispatch.NewInstrumented(n.clock, dispatcher)
	callers, err := brcaller.NewHandler(n.clock, instrumented, n.locator)
	if err != nil {
		return errors.Errorf("create handler for callers: %w", err)
	}
	administration := bradministration.New(n.clock, accessPolicy(n.settings.Operators().Administration()), n.writeLimiter, n.distributor, table, objects, n.configuration.witnesses, n.timeline)
	n.proposalWriter = brproposal.New(n.settings.VM(), n.clock, administration, n.timeline, n.logger)
	n.balancer.SubscribeProposals(n.proposalWriter.Proposals())
	operators, err := broperator.NewHandler(n.settings.VM(), administration, n.timeline, n.metrics(instrumented.Collectors()...))
	if err != nil {
		return errors.Errorf("create handler for operators: %w", err)
	}
	broperator.SetEventHistory(operators, n.history(administration))
	return errors.Join(
		n.addFront(frontCallers, n.settings.Callers(), callers),
		broperator.RegisterPoisonRoutes(operators, n.requests.detector),
		n.addFront(frontPeers, n.settings.Peers(), n.requests.withRequestEndpoints(n.peersHandler(), n.clock, dispatcher)),
		n.addFront(frontOperators, n.settings.Operators(), n.withReadiness(operators)),
	)
}

func (n *Node) addFront(name string, settings brsettings.Front, handler http.Handler) error {
	dependencies := brfront.NewDependencies(n.clock, n.logger, n.timeline, brcaller.WriteRefusal)
	front, err := brfront.New(name, settings, n.certificateStores[name], handler, dependencies)
	if err != nil {
		return errors.Errorf("start front: %w", err)
	}
	n.fronts = append(n.fronts, front)
	return nil
}

func (n *Node) closeFronts() {
	for _, f := range n.fronts {
		f.Close()
	}
}

// serve starts all fronts. The channel receives the error of each front that fails.
func (n *Node) serve() <-chan error {
	failures := make(chan error, len(n.fronts))
	for _, f := range n.fronts {
		go func() {
			if err := f.Serve(); err != nil {
				failures <- err
			}
		}()
	}
	return failures
}
