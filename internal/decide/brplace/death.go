package brplace

import (
	"fmt"
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	// breakMemory is how long after a broken request a crash of the server is
	// attributed to it. It covers the time until a retry, a restart of the
	// server or the end of its registration reveals the crash.
	breakMemory = 8 * time.Second
	// maxBroken bounds the broken requests kept for a server.
	maxBroken = 64
	// maxDeaths bounds the crashes that have not been fetched yet.
	maxDeaths = 1024
)

// Death is a crash of a server that a request may have caused. It is immutable.
type Death struct {
	server  string
	request brrequest.Fingerprint
}

// Server returns the server's identifier and start time, which together identify
// one run of the server.
func (d Death) Server() string { return d.server }

// Request returns the fingerprint of a request that was running when the server
// crashed.
func (d Death) Request() brrequest.Fingerprint { return d.request }

// broken is a request whose connection broke before the answer was complete.
type broken struct {
	request brrequest.Fingerprint
	at      time.Time
}

// breaks records a broken request. Whether the server crashed or only the
// connection broke is not known yet.
func (s *server) breaks(now time.Time, o Outcome) {
	request, ok := o.request.Get()
	if !ok || len(s.broken) >= maxBroken {
		return
	}
	s.broken = append(s.broken, broken{request: request, at: now})
}

// lived drops the requests that broke before sent, the time at which a request
// was sent that has been answered since: the server survived them.
func (s *server) lived(sent time.Time) {
	s.broken = slices.DeleteFunc(s.broken, func(b broken) bool { return b.at.Before(sent) })
}

// bury returns a crash for each request that broke shortly before now, and
// clears the broken requests.
func (s *server) bury(now time.Time) []Death {
	deaths := []Death{}
	for _, b := range s.broken {
		if now.Sub(b.at) <= breakMemory {
			deaths = append(deaths, Death{server: life(s.traits), request: b.request})
		}
	}
	s.broken = nil
	return deaths
}

func life(traits brfleet.Server) string { return fmt.Sprintf("%s/%d", traits.ID(), traits.Born()) }

// buryGone treats servers as crashed that are no longer registered and did not
// announce that they drain.
func (p *Placer) buryGone(now time.Time, known map[string]*server) {
	for id, one := range p.servers {
		if _, registered := known[id]; !registered && !one.traits.Draining() {
			p.died(now, one)
		}
	}
}

// died stores the crashes of a server until Deaths fetches them.
func (p *Placer) died(now time.Time, one *server) {
	if len(one.broken) == 0 || len(p.deaths) >= maxDeaths {
		return
	}
	p.deaths = append(p.deaths, one.bury(now)...)
}

// Deaths returns the crashes recorded since the previous call.
func (p *Placer) Deaths() []Death {
	deaths := p.deaths
	p.deaths = nil
	return deaths
}
