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
// VMs. The poller and the distributor are fields of Node, since other parts use them too.
type configurationDuties struct {
	follower   *brfollower.Follower
	membership *brmembership.Membership
	pinger     *brpinger.Pinger
	archiver   *brarchive.Archiver
	attester   *brattester.Attester
	confirmer  *brconfirmation.Confirmer
	witnesses  *brentry.WitnessClient
}

// generations provides this VM's configuration generation to messages, and passes
// on the generations that arrive with messages of other VMs.
type generations struct {
	distributor *brdistributor.Distributor
	follower    *brfollower.Follower
}

// Generation returns the generation of the configuration that this VM uses.
func (g *generations) Generation() uint64 { return g.distributor.Generation() }

// ObserveGeneration reports a generation that came with a message of another VM.
func (g *generations) ObserveGeneration(vm string, generation uint64) {
	g.follower.ObserveGeneration(vm, generation)
}

func (n *Node) addConfigurationDuties(client *http.Client, table brtable.Table, objects brobject.Store) {
	vm, domain := n.settings.VM(), n.settings.Domain()
	platform := n.settings.Platform()
	n.poller = brpoller.New(vm, domain, n.clock, table, objects, n.distributor, n.logger)
	generation := &generations{distributor: n.distributor}
	peers := &http.Client{Transport: brentry.NewTransport(vm, generation, n.connector.Transport())}
	dialer := brentry.NewDialer(peers)
	n.configuration.follower = brfollower.New(vm, domain, n.clock, dialer, n.distributor, n.poller, n.logger)
	generation.follower = n.configuration.follower
	n.configuration.archiver = brarchive.New(vm, n.clock, objects, n.logger)
	n.configuration.attester = brattester.New(n.clock, n.distributor)
	n.distributor.SubscribeTableReads(n.configuration.attester)
	n.configuration.witnesses = brentry.NewWitnessClient(peers)
	n.configuration.confirmer = brconfirmation.New(vm, domain, n.clock, n.distributor, n.configuration.witnesses)
	n.distributor.SubscribeArchive(n.configuration.archiver.States())
	vmList := brvmlist.NewClient(client, platform.VMs(), platform.Timeout())
	n.configuration.pinger = brpinger.New(n.clock, brentry.NewPinger(peers))
	n.configuration.membership = brmembership.New(brmembership.NewIdentity(vm, domain), n.clock, vmList, nil, n.configuration.pinger, n.distributor, n.timeline, n.logger)
	n.configuration.pinger.SetListener(n.configuration.membership)
	n.OnLeave(brshutdown.NewStep("leave other VMs", leaveTimeout, n.configuration.membership.Leave))
	n.configuration.membership.Subscribe(n.locator.Members())
	n.distributor.Subscribe(n.configuration.membership.Snapshots())
	n.configuration.membership.Subscribe(n.poller.Members())
	n.configuration.membership.Subscribe(n.configuration.follower.Members())
	n.configuration.membership.Subscribe(n.configuration.archiver.Members())
	n.configuration.membership.Subscribe(n.configuration.confirmer.Members())
}

func (n *Node) peersHandler() http.Handler {
	generation := &generations{distributor: n.distributor, follower: n.configuration.follower}
	next := brentry.WithMembership(brentry.NewHandler(n.clock, n.distributor, n.timeline), n.configuration.membership)
	return brentry.WithGeneration(n.settings.VM(), generation, brentry.WithWitness(
		brentry.WithLending(next, n.admission), n.configuration.attester))
}
