package brnode

import (
	"net/http"
	"time"

	"bergamotroad.example/bergamotroad/internal/duty/brarchive"
	"bergamotroad.example/bergamotroad/internal/duty/brattester"
	"bergamotroad.example/bergamotroad/internal/duty/brconfirmation"
	"bergamotroad.example/bergamotroad/internal/duty/brdistributor"
	"bergamotroad.example/bergamotroad/internal/duty/brfollower"
	"bergamotroad.example/bergamotroad/internal/duty/brmembership"
	"bergamotroad.example/bergamotroad/internal/duty/brpinger"
	"bergamotroad.example/bergamotroad/internal/duty/brpoller"
	"bergamotroad.example/bergamotroad/internal/peer/brentry"
	"bergamotroad.example/bergamotroad/internal/peer/brobject"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
	"bergamotroad.example/bergamotroad/internal/peer/brvmlist"
	"bergamotroad.example/bergamotroad/internal/service/brshutdown"
)

// leaveTimeout is the longest time that a planned stop waits until other VMs have
// been told that this VM leaves.
const leaveTimeout = time.Second

// configurationDuties groups the duties that distribute the configuration between
// VMs. Polling and spreading are members of Node, since other parts use them too.
type configurationDuties struct {
	following  *brfollower.Follower
	membership *brmembership.Membership
	pinging    *brpinger.Pinger
	archiving  *brarchive.Archiver
	witnessing *brattester.Attester
	inquiring  *brconfirmation.Confirmer
	witnesses  *brentry.WitnessClient
}

// generations provides this VM's configuration generation to messages, and passes
// on the generations that arrive with messages of other VMs.
type generations struct {
	spreading *brdistributor.Distributor
	following *brfollower.Follower
}

// Generation returns the generation of the configuration that this VM uses.
func (g *generations) Generation() uint64 { return g.spreading.Generation() }

// ObserveGeneration reports a generation that came with a message of another VM.
func (g *generations) ObserveGeneration(vm string, generation uint64) {
	g.following.ObserveGeneration(vm, generation)
}

func (n *Node) addConfigurationDuties(client *http.Client, table brtable.Table, objects brobject.Store) {
	vm, domain := n.settings.VM(), n.settings.Domain()
	platform := n.settings.Platform()
	n.polling = brpoller.New(vm, domain, n.clock, table, objects, n.spreading, n.logger)
	generation := &generations{spreading: n.spreading}
	peers := &http.Client{Transport: brentry.NewTransport(vm, generation, n.connector.Transport())}
	pool := brentry.NewDialer(peers)
	n.configuration.following = brfollower.New(vm, domain, n.clock, pool, n.spreading, n.polling, n.logger)
	generation.following = n.configuration.following
	n.configuration.archiving = brarchive.New(vm, n.clock, objects, n.logger)
	n.configuration.witnessing = brattester.New(n.clock, n.spreading)
	n.spreading.SubscribeTableReads(n.configuration.witnessing)
	n.configuration.witnesses = brentry.NewWitnessClient(peers)
	n.configuration.inquiring = brconfirmation.New(vm, domain, n.clock, n.spreading, n.configuration.witnesses)
	n.spreading.SubscribeArchive(n.configuration.archiving.States())
	list := brvmlist.NewClient(client, platform.VMs(), platform.Timeout())
	n.configuration.pinging = brpinger.New(n.clock, brentry.NewPinger(peers))
	n.configuration.membership = brmembership.New(brmembership.NewIdentity(vm, domain), n.clock, list, nil, n.configuration.pinging, n.spreading, n.timeline, n.logger)
	n.configuration.pinging.SetListener(n.configuration.membership)
	n.OnLeave(brshutdown.NewStep("leave other VMs", leaveTimeout, n.configuration.membership.Leave))
	n.configuration.membership.Subscribe(n.steering.Members())
	n.spreading.Subscribe(n.configuration.membership.Snapshots())
	n.configuration.membership.Subscribe(n.polling.Members())
	n.configuration.membership.Subscribe(n.configuration.following.Members())
	n.configuration.membership.Subscribe(n.configuration.archiving.Members())
	n.configuration.membership.Subscribe(n.configuration.inquiring.Members())
}

func (n *Node) peersHandler() http.Handler {
	generation := &generations{spreading: n.spreading, following: n.configuration.following}
	next := brentry.WithMembership(brentry.NewHandler(n.clock, n.spreading, n.timeline), n.configuration.membership)
	return brentry.WithGeneration(n.settings.VM(), generation, brentry.WithWitness(
		brentry.WithLending(next, n.admission), n.configuration.witnessing))
}
