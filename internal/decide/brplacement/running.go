package brplacement

import "bergamotroad.example/bergamotroad/internal/model/brfleet"

// serverRun identifies one run of a server's process.
type serverRun struct {
	id             string
	startUnixMilli int64
}

func runOf(registration brfleet.Server) serverRun {
	return serverRun{id: registration.ID(), startUnixMilli: registration.StartUnixMilli()}
}

// departed counts the requests at a run of a server that is no longer in the view. It is
// kept until they have ended, since a server that was missing from one view may come back
// in the next.
type departed struct {
	service string
	running int
}

// keepRunning keeps the counts of the servers that are replaced by those registered now.
func (p *Placer) keepRunning(registered map[string]*server) {
	for id, srv := range p.servers {
		if srv.running > 0 && registered[id] != srv {
			p.departed[runOf(srv.registration)] = departed{service: srv.registration.Service(), running: srv.running}
		}
	}
	for _, srv := range registered {
		run := runOf(srv.registration)
		if d, ok := p.departed[run]; ok {
			srv.running = d.running
			delete(p.departed, run)
		}
	}
}

// endRequest takes one request off the count of the run of a server that it was sent to.
func (p *Placer) endRequest(registration brfleet.Server) {
	run := runOf(registration)
	if srv, ok := p.servers[run.id]; ok && runOf(srv.registration) == run {
		srv.running = max(srv.running-1, 0)
		return
	}
	d := p.departed[run]
	if d.running <= 1 {
		delete(p.departed, run)
		return
	}
	d.running--
	p.departed[run] = d
}

// RunningAt returns the number of requests of this VM that are counted as running at a
// server, in the given run of its process.
func (p *Placer) RunningAt(registration brfleet.Server) int {
	run := runOf(registration)
	if srv, ok := p.servers[run.id]; ok && runOf(srv.registration) == run {
		return srv.running
	}
	return p.departed[run].running
}

// Running returns the number of requests of this VM that are counted as running at servers,
// by service. Services whose servers run none are included.
func (p *Placer) Running() map[string]int {
	counts := make(map[string]int, len(p.services))
	for _, srv := range p.servers {
		counts[srv.registration.Service()] += srv.running
	}
	for _, d := range p.departed {
		counts[d.service] += d.running
	}
	return counts
}
