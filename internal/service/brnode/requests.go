package brnode

import (
	"net/http"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/decide/brpoison"
	"bergamotroad.example/bergamotroad/internal/duty/brbandwidth"
	"bergamotroad.example/bergamotroad/internal/duty/brbroadcaster"
	"bergamotroad.example/bergamotroad/internal/duty/brdistributor"
	"bergamotroad.example/bergamotroad/internal/duty/brforwarder"
	"bergamotroad.example/bergamotroad/internal/duty/brquarantine"
	"bergamotroad.example/bergamotroad/internal/duty/brretrybudget"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/peer/brbackend"
	"bergamotroad.example/bergamotroad/internal/peer/brentry"
	"bergamotroad.example/bergamotroad/internal/service/brdispatch"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
)

// requestDuties groups the duties that a dispatcher uses for each request.
type requestDuties struct {
	retrying   *brretrybudget.Budgets
	forwarding *brforwarder.Forwarder
	telling    *brbroadcaster.Broadcaster
	poisoning  *brquarantine.Detector[brpoison.SerialPolicy]
	pacing     *brbandwidth.Limiter
}

func newRequestDuties(settings brsettings.Settings, clock brclock.Clock, events brevent.Recorder, connector *brentry.Connector) requestDuties {
	telling := brbroadcaster.New(settings.VM(), settings.Domain(), clock, brentry.NewPoisonClient(&http.Client{Transport: connector.Transport()}))
	return requestDuties{
		retrying:   brretrybudget.New(clock),
		forwarding: brforwarder.New(settings.Domain(), clock),
		telling:    telling,
		pacing:     brbandwidth.New(settings.Domain(), clock),
		poisoning:  brquarantine.New[brpoison.SerialPolicy](clock, events, telling),
	}
}

func (r requestDuties) subscribe(spreading *brdistributor.Distributor) {
	spreading.Subscribe(r.retrying.Snapshots())
	spreading.Subscribe(r.forwarding.Snapshots())
	spreading.Subscribe(r.pacing.Snapshots())
	spreading.Subscribe(r.telling.Snapshots())
}

func (r requestDuties) duties() []brduty.Runner {
	return []brduty.Runner{r.retrying.Duty(), r.forwarding.Duty(), r.telling.Duty(), r.poisoning.Duty(), r.pacing.Duty()}
}

func (r requestDuties) dispatcher(n *Node) *brdispatch.Dispatcher {
	backend := brbackend.NewClient(brbackend.NewTransport())
	entry := brentry.NewForwarder(brbackend.NewClient(brbackend.NewTransportWithDial(n.connector.Dial)), n.settings.Domain(), r.pacing)
	return brdispatch.New(n.settings.VM(), n.clock, n.admission, n.revoking, n.balancing, r.retrying, r.forwarding, r.poisoning, n.claims.claiming, backend, entry, n.timeline)
}

// withRequestEndpoints wraps the handler of the peers' front with the endpoints for
// forwarded requests and poison notices.
func (r requestDuties) withRequestEndpoints(next http.Handler, clock brclock.Clock, receiver brentry.Receiver) http.Handler {
	return brentry.WithForwarding(brentry.WithPoison(next, r.poisoning), clock, receiver, r.pacing)
}
