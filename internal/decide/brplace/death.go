package brplace

import (
	"fmt"
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	// breakMemory is how long after a request broke off its server's death is put
	// down to it: the time in which a next try, the server's new start or the end of
	// its registration tells.
	breakMemory = 8 * time.Second
	// maxBroken is how many requests that broke off are kept for a server; it
	// bounds memory.
	maxBroken = 64
	// maxDeaths is how many deaths wait to be taken; it bounds memory.
	maxDeaths = 1024
)

// Death is the end of a server that a request may have caused. It is immutable.
type Death struct {
	server  string
	request brrequest.Fingerprint
}

// Server returns the server's identifier and start, which name one life of it.
func (d Death) Server() string { return d.server }

// Request returns the fingerprint of a request that the server ran as it died.
func (d Death) Request() brrequest.Fingerprint { return d.request }

// broken is a request that broke off without an answer.
type broken struct {
	request brrequest.Fingerprint
	at      time.Time
}

// breaks takes note of a request that broke off: its server has died, or only
// the connection has.
func (s *server) breaks(now time.Time, o Outcome) {
	request, ok := o.request.Get()
	if !ok || len(s.broken) >= maxBroken {
		return
	}
	s.broken = append(s.broken, broken{request: request, at: now})
}

// lived takes note of an answer to a request that was sent at a time: what broke
// off before then did not kill the server.
func (s *server) lived(sent time.Time) {
	s.broken = slices.DeleteFunc(s.broken, func(b broken) bool { return b.at.Before(sent) })
}

// bury returns what broke off shortly before the server turned out to be dead.
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

// buryGone takes servers that are not registered any more, and had not said that
// they leave, for dead.
func (p *Placer) buryGone(now time.Time, known map[string]*server) {
	for id, one := range p.servers {
		if _, registered := known[id]; !registered && !one.traits.Draining() {
			p.died(now, one)
		}
	}
}

// died keeps the deaths that a server's end means until they are taken.
func (p *Placer) died(now time.Time, one *server) {
	if len(one.broken) == 0 || len(p.deaths) >= maxDeaths {
		return
	}
	p.deaths = append(p.deaths, one.bury(now)...)
}

// Deaths returns the deaths since it was called last.
func (p *Placer) Deaths() []Death {
	deaths := p.deaths
	p.deaths = nil
	return deaths
}
