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
	retryBudgets   *brretrybudget.Budgets
	targetSelector *brforwarder.Selector
	broadcaster    *brbroadcaster.Broadcaster
	detector       *brquarantine.Detector[brpoison.SerialPolicy]
	limiter        *brbandwidth.Limiter
}

func newRequestDuties(settings brsettings.Settings, clock brclock.Clock, events brevent.Recorder, connector *brentry.Connector) requestDuties {
	broadcaster := brbroadcaster.New(settings.VM(), settings.Domain(), clock, brentry.NewPoisonClient(&http.Client{Transport: connector.Transport()}))
	return requestDuties{
		retryBudgets:   brretrybudget.New(clock),
		targetSelector: brforwarder.New(settings.Domain(), clock),
		broadcaster:    broadcaster,
		limiter:        brbandwidth.New(settings.Domain(), clock),
		detector:       brquarantine.New[brpoison.SerialPolicy](clock, events, broadcaster),
	}
}

func (r requestDuties) subscribe(distributor *brdistributor.Distributor) {
	distributor.Subscribe(r.retryBudgets.Snapshots())
	distributor.Subscribe(r.targetSelector.Snapshots())
	distributor.Subscribe(r.limiter.Snapshots())
	distributor.Subscribe(r.broadcaster.Snapshots())
}

func (r requestDuties) duties() []brduty.Runner {
	return []brduty.Runner{r.retryBudgets.Duty(), r.targetSelector.Duty(), r.broadcaster.Duty(), r.detector.Duty(), r.limiter.Duty()}
}

func (r requestDuties) dispatcher(n *Node) *brdispatch.Dispatcher {
	backend := brbackend.NewClient(brbackend.NewTransport())
	forwarder := brentry.NewForwarder(brbackend.NewClient(brbackend.NewTransportWithDial(n.connector.Dial)), n.settings.Domain(), r.limiter)
	return brdispatch.New(n.settings.VM(), n.clock, n.admission, n.revoker, n.balancer, r.retryBudgets, r.targetSelector, r.detector, n.claims.store, backend, forwarder, n.timeline)
}

// withRequestEndpoints wraps the handler of the peers' front with the endpoints for
// forwarded requests and poison notices.
func (r requestDuties) withRequestEndpoints(next http.Handler, clock brclock.Clock, receiver brentry.Receiver) http.Handler {
	return brentry.WithForwarding(brentry.WithPoison(next, r.detector), clock, receiver, r.limiter)
}
