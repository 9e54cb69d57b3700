package brentry

import (
	"net/http"

	"bergamotroad.example/bergamotroad/internal/peer/brentrypb"
)

// Peer is another entry VM.
type Peer struct {
	address  string
	spread   brentrypb.Spread
	timeline brentrypb.Timeline
}

// NewPeer returns the entry VM at a base URL.
func NewPeer(client *http.Client, address string) *Peer {
	return &Peer{
		address:  address,
		spread:   brentrypb.NewSpreadProtobufClient(address, client),
		timeline: brentrypb.NewTimelineProtobufClient(address, client),
	}
}

// NewHandler returns the handler that answers other entry VMs.
func NewHandler(spreading Spreading, timeline Timeline) http.Handler {
	mux := http.NewServeMux()
	spread := brentrypb.NewSpreadServer(&spreadServer{spreading: spreading})
	mux.Handle(spread.PathPrefix(), spread)
	events := brentrypb.NewTimelineServer(&timelineServer{timeline: timeline})
	mux.Handle(events.PathPrefix(), events)
	return mux
}
