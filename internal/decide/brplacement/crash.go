package brplacement

import (
	"fmt"
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	// crashAttributionPeriod is how long after a broken request a crash of the server is
	// attributed to it. It covers the time until a retry, a restart of the
	// server or the end of its registration reveals the crash.
	crashAttributionPeriod = 8 * time.Second
	// maxBrokenRequests bounds the broken requests kept for a server.
	maxBrokenRequests = 64
	// maxCrashes bounds the crashes that TakeCrashes has not returned yet.
	maxCrashes = 1024
)

// Crash is a crash of a server that a request may have caused. It is immutable.
type Crash struct {
	server  string
	request brrequest.Fingerprint
}

// Server returns the server's identifier and start time, which together identify
// one run of the server.
func (c Crash) Server() string { return c.server }

// Request returns the fingerprint of a request that was running when the server
// crashed.
func (c Crash) Request() brrequest.Fingerprint { return c.request }

// brokenRequest is a request whose connection broke before the answer was complete.
type brokenRequest struct {
	request brrequest.Fingerprint
	at      time.Time
}

// recordBroken records a broken request. Whether the server crashed or only the
// connection broke is not known yet.
func (s *server) recordBroken(now time.Time, o Outcome) {
	request, ok := o.request.Get()
	if !ok || len(s.broken) >= maxBrokenRequests {
		return
	}
	s.broken = append(s.broken, brokenRequest{request: request, at: now})
}

// clearBroken drops the requests that broke before sent. A request that was sent at
// that time has been answered since, so the server did not crash on the earlier ones.
func (s *server) clearBroken(sent time.Time) {
	s.broken = slices.DeleteFunc(s.broken, func(b brokenRequest) bool { return b.at.Before(sent) })
}

// takeCrashes returns a crash for each request that broke within
// crashAttributionPeriod before now, and clears the broken requests.
func (s *server) takeCrashes(now time.Time) []Crash {
	crashes := []Crash{}
	for _, b := range s.broken {
		if now.Sub(b.at) <= crashAttributionPeriod {
			crashes = append(crashes, Crash{server: instanceID(s.registration), request: b.request})
		}
	}
	s.broken = nil
	return crashes
}

// instanceID returns the server's identifier and start time, which differ for each
// run of a server.
func instanceID(registration brfleet.Server) string {
	return fmt.Sprintf("%s/%d", registration.ID(), registration.StartUnixMilli())
}

// recordUnregistered treats servers as crashed that are no longer registered and had
// not announced that they drain.
func (p *Placer) recordUnregistered(now time.Time, registered map[string]*server) {
	for id, srv := range p.servers {
		if _, ok := registered[id]; !ok && !srv.registration.Draining() {
			p.recordCrashes(now, srv)
		}
	}
}

// recordCrashes stores the crashes of a server until TakeCrashes returns them.
func (p *Placer) recordCrashes(now time.Time, srv *server) {
	if len(srv.broken) == 0 || len(p.crashes) >= maxCrashes {
		return
	}
	p.crashes = append(p.crashes, srv.takeCrashes(now)...)
}

// TakeCrashes returns the crashes recorded since the previous call.
func (p *Placer) TakeCrashes() []Crash {
	crashes := p.crashes
	p.crashes = nil
	return crashes
}
