package brentry

import (
	"net/http"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/duty/brfollowing"
	"bergamotroad.example/bergamotroad/internal/peer/brentrypb"
)

// Peer is another entry VM.
type Peer struct {
	address  string
	spread   brentrypb.Spread
	timeline brentrypb.Timeline
	lending  brentrypb.Lending
}

// NewPeer returns the entry VM at a base URL.
func NewPeer(client *http.Client, address string) *Peer {
	return &Peer{
		address:  address,
		spread:   brentrypb.NewSpreadProtobufClient(address, client),
		timeline: brentrypb.NewTimelineProtobufClient(address, client),
		lending:  brentrypb.NewLendingProtobufClient(address, client),
	}
}

// Pool reaches other entry VMs with one client. It is a brfollowing.Dialer.
type Pool struct {
	client *http.Client
}

// NewPool returns a pool that uses the client's connections.
func NewPool(client *http.Client) *Pool {
	return &Pool{client: client}
}

// Dial returns the entry VM at host:port. It makes no connection yet.
func (p *Pool) Dial(address string) brfollowing.Source {
	return NewPeer(p.client, "http://"+address)
}

// NewHandler returns the handler that answers other entry VMs.
func NewHandler(clock brclock.Clock, spreading Spreading, timeline Timeline) http.Handler {
	mux := http.NewServeMux()
	spread := brentrypb.NewSpreadServer(&spreadServer{clock: clock, spreading: spreading})
	mux.Handle(spread.PathPrefix(), spread)
	events := brentrypb.NewTimelineServer(&timelineServer{timeline: timeline})
	mux.Handle(events.PathPrefix(), events)
	return mux
}
