package brentry

import (
	"net/http"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/duty/brfollower"
	"bergamotroad.example/bergamotroad/internal/peer/brentrypb"
)

// Peer is a client of another entry VM.
type Peer struct {
	address  string
	spread   brentrypb.Spread
	timeline brentrypb.Timeline
	lending  brentrypb.Lending
}

// NewPeer returns a client of the entry VM at a base URL.
func NewPeer(client *http.Client, address string) *Peer {
	return &Peer{
		address:  address,
		spread:   brentrypb.NewSpreadProtobufClient(address, client),
		timeline: brentrypb.NewTimelineProtobufClient(address, client),
		lending:  brentrypb.NewLendingProtobufClient(address, client),
	}
}

// Dialer returns clients of other entry VMs, which share one HTTP client. It
// implements brfollower.Dialer.
type Dialer struct {
	client *http.Client
}

// NewDialer returns a dialer over an HTTP client.
func NewDialer(client *http.Client) *Dialer {
	return &Dialer{client: client}
}

// Dial returns a client of the entry VM at host:port. The connection is made by
// the first call.
func (d *Dialer) Dial(address string) brfollower.Source {
	return NewPeer(d.client, "http://"+address)
}

// NewHandler returns the handler by which other entry VMs read this VM's
// configuration and timeline.
func NewHandler(clock brclock.Clock, source ConfigurationSource, timeline Timeline) http.Handler {
	mux := http.NewServeMux()
	spread := brentrypb.NewSpreadServer(&spreadServer{clock: clock, source: source})
	mux.Handle(spread.PathPrefix(), spread)
	events := brentrypb.NewTimelineServer(&timelineServer{timeline: timeline})
	mux.Handle(events.PathPrefix(), events)
	return mux
}
