package brfront

import (
	"net"
	"net/http"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
)

// Guard bounds the connections of a server that is not a Front, and the time for which its
// clients may stall in a body or a response.
type Guard struct {
	clock    brclock.Clock
	limits   brsettings.Limits
	listener *listener
}

// NewGuard returns a guard for the connections that listener accepts.
func NewGuard(clock brclock.Clock, limits brsettings.Limits, inner net.Listener) *Guard {
	return &Guard{clock: clock, limits: limits, listener: newListener(inner, limits.Connections(), limits.ConnectionsPerAddress())}
}

// Listener returns the listener, which closes connections beyond the limits.
func (g *Guard) Listener() net.Listener { return g.listener }

// Connections returns the number of open connections and of those refused so far.
func (g *Guard) Connections() (open, refused int) { return g.listener.counts() }

// Server returns a server for the guard's listener.
func (g *Guard) Server(handler http.Handler) *http.Server {
	server := newServer(g.limits)
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serve(w, r, handler) })
	return server
}

func (g *Guard) serve(w http.ResponseWriter, r *http.Request, handler http.Handler) {
	defer watchClient(r)()
	response := newResponseWriter(w, g.clock, false)
	if r.Body != nil && r.Body != http.NoBody {
		body := newMinRateBody(r.Body, w, g.clock, g.limits)
		defer body.finish()
		r.Body = body
	}
	handler.ServeHTTP(response, r)
}
