// Package brplacement decides which backend server gets a request, and which
// requests wait or are refused when no server has capacity.
//
// Servers that have handled an object recently answer requests for it several
// times faster. Rendezvous hashing orders the servers for each object, and the
// requests for the object go to the first few of them. Their number depends on the
// load of the service. With spare capacity, a request may go to a server that does
// not have its object cached. Without, it waits for one that does, or is refused,
// since a cache miss occupies a server for as long as several hits.
//
// Each VM places requests on its own. It estimates the load that other VMs put
// on a server from the load that the server reports with its answers. Cold
// servers (just started or reachable again after a failure) get requests at a
// limited rate and from few VMs. Failing servers are ejected for a time that
// doubles with each consecutive failure.
//
// # Usage
//
//	placer := brplacement.New("vm-1", "este")
//	placer.Update(now, view)
//	choice, ok := placer.Pick(now, brplacement.NewQuery(requestID, "lookup").WithObject("cylinder-7"))
//	placer.RecordOutcome(now, brplacement.NewOutcome(choice.Server(), brrequest.OutcomeAnswered, latency))
package brplacement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/decide/brbackoff"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	// busyUtilisation is the utilisation of a service, as a fraction of its slots,
	// above which an object is kept to busySpread servers, which have it cached.
	busyUtilisation = 0.6
	// homeShare is the fraction of objects for which a region uses its own servers
	// if it has an equal share of the slots. The other objects use other regions,
	// which evens out differences in demand.
	homeShare = 0.65
	// vmsPerColdServer is the number of VMs that send to one cold server. It is small
	// so that the total rate stays bounded even when the VMs can't communicate.
	vmsPerColdServer = 2
	// coldShare is the fraction of a cold server's rate that these VMs use together.
	coldShare = 0.9
	// serviceLatencyWeight is the weight of a new sample in a service's mean latency.
	serviceLatencyWeight = 0.02
)

// Placer holds the state of the backend servers and picks one for each request.
// It is not safe for concurrent use.
type Placer struct {
	vm        string
	region    string
	view      *brfleet.View
	servers   map[string]*server
	departed  map[serverRun]departed
	services  map[string]*service
	exposures map[string]Exposure
	crashes   []Crash
	backoff   *brbackoff.Tracker
	returns   returns
}

// service holds the servers of one service.
type service struct {
	servers  []*server // ordered by identifier
	versions versions
	latency  time.Duration
}

// New returns the placer of a VM in a region. It knows no servers before the first
// Update.
func New(vm, region string) *Placer {
	return &Placer{
		vm:        vm,
		region:    region,
		view:      &brfleet.View{},
		servers:   map[string]*server{},
		departed:  map[serverRun]departed{},
		services:  map[string]*service{},
		exposures: map[string]Exposure{},
		backoff:   brbackoff.New(vm),
		returns:   newReturns(),
	}
}

// Update sets the current view of the fleet.
func (p *Placer) Update(now time.Time, view *brfleet.View) {
	p.view = view
	registered := make(map[string]*server, len(p.servers))
	for name, registrations := range view.Servers() {
		s := p.service(name)
		rollout, hasRollout := view.Rollout(name)
		s.versions.update(registrations, rollout, hasRollout)
		s.servers = s.servers[:0]
		for _, registration := range registrations {
			srv := p.refresh(now, registration)
			registered[registration.ID()] = srv
			s.servers = append(s.servers, srv)
		}
	}
	for name, s := range p.services {
		if len(view.ServersOf(name)) == 0 {
			s.servers = nil
		}
	}
	p.recordUnregistered(now, registered)
	p.keepRunning(registered)
	p.servers = registered
}

// service returns the state of a service, which is created if needed.
func (p *Placer) service(name string) *service {
	s, ok := p.services[name]
	if !ok {
		s = &service{}
		p.services[name] = s
	}
	return s
}

// refresh returns the state kept for a server, with its new registration. A server
// that has restarted or has another address gets fresh state.
func (p *Placer) refresh(now time.Time, registration brfleet.Server) *server {
	s, ok := p.servers[registration.ID()]
	if !ok || s.registration.StartUnixMilli() != registration.StartUnixMilli() || s.registration.Address() != registration.Address() {
		if ok {
			p.recordCrashes(now, s)
		}
		s = &server{registration: registration, hash: xxhash.Sum64String(registration.ID())}
	}
	if remaining := registration.ColdRemaining(); remaining > 0 && (!ok || s.registration.ColdRemaining() != remaining || s.coldUntil.IsZero()) {
		s.coldUntil = now.Add(remaining)
	}
	if since, returned := p.returns.observe(now, registration.Domain(), p.view.Evacuated(registration.Domain())); returned {
		coldTime := max(p.view.Policy().Service(registration.Service()).ColdTime(), recoveryTime)
		s.coldUntil = latest(s.coldUntil, since.Add(coldTime))
	}
	s.registration = registration
	return s
}

// SetExposures sets which fraction of requests this VM sends to the target versions of
// rollouts, by service.
func (p *Placer) SetExposures(exposures map[string]Exposure) { p.exposures = exposures }

// Pick chooses a server and counts the request as running there. It returns
// false if no server has capacity.
func (p *Placer) Pick(now time.Time, query Query) (Choice, bool) {
	s, ok := p.services[query.service]
	if !ok {
		return Choice{}, false
	}
	rollout, hasRollout := p.view.Rollout(query.service)
	for _, allowed := range s.versions.choose(query.request, rollout, hasRollout, p.exposures[query.service]) {
		candidates := p.candidates(now, s, query, allowed)
		if choice, ok := p.pickFrom(now, s, query, candidates); ok {
			return choice, true
		}
	}
	return Choice{}, false
}

// Availability tells whether any server may run a request, regardless of load.
func (p *Placer) Availability(now time.Time, query Query) Availability {
	s, ok := p.services[query.service]
	if !ok {
		return Availability{}
	}
	availability := Availability{}
	rollout, hasRollout := p.view.Rollout(query.service)
	for _, allowed := range s.versions.choose(query.request, rollout, hasRollout, p.exposures[query.service]) {
		for _, srv := range s.servers {
			if !p.eligible(now, srv, query, allowed) {
				continue
			}
			until, isQuiet := p.backoff.QuietUntil(now, srv.registration)
			if !isQuiet {
				return Availability{candidates: true}
			}
			availability = availability.withQuiet(until)
		}
	}
	return availability
}

// candidates returns the servers that may run a request now, regardless of load.
func (p *Placer) candidates(now time.Time, s *service, query Query, allowed func(string) bool) []*server {
	list := make([]*server, 0, len(s.servers))
	for _, srv := range s.servers {
		if !p.eligible(now, srv, query, allowed) {
			continue
		}
		if _, isQuiet := p.backoff.QuietUntil(now, srv.registration); !isQuiet {
			list = append(list, srv)
		}
	}
	return list
}

// eligible reports whether a server may run a request, now or once it wants requests
// again.
func (p *Placer) eligible(now time.Time, srv *server, query Query, allowed func(string) bool) bool {
	registration := srv.registration
	switch {
	case registration.Draining() || p.backoff.IsLeaving(registration):
		return false
	case p.view.Evacuated(registration.Domain()) || !query.allowsRegion(registration.Region()):
		return false
	case slices.Contains(query.excluded, registration.ID()) || !allowed(registration.Version()):
		return false
	default:
		return !srv.paused(now) || srv.failures == 0
	}
}

// pickFrom picks one of the candidates by the placement rules.
func (p *Placer) pickFrom(now time.Time, s *service, query Query, candidates []*server) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	order := rank(query.affinity(), candidates, p.preference(query, candidates))
	utilisation := p.utilisation(now, s)
	near := order[:min(spread(utilisation), len(order))]
	for _, rule := range placementRules {
		for i, r := range near {
			if rule.applies(now, query, i, r.server) && p.hasCapacity(now, s, r.server, rule.maxQueue) {
				r.server.recent.add(now, query.object)
				return p.assign(now, r.server, Choice{rank: i, candidates: len(candidates), utilisation: utilisation}), true
			}
		}
	}
	return Choice{}, false
}

// preference returns a predicate for the servers that are preferred for an object:
// those in this VM's region, or those outside it. The fraction of objects that stay
// in the region is proportional to its share of the slots. A hash decides which
// objects stay, so they are always the same.
func (p *Placer) preference(query Query, candidates []*server) func(*server) bool {
	ownSlots, totalSlots := 0, 0
	regions := brset.New[string]()
	for _, srv := range candidates {
		totalSlots += srv.registration.Slots()
		regions.Add(srv.registration.Region())
		if srv.registration.Region() == p.region {
			ownSlots += srv.registration.Slots()
		}
	}
	share := homeShare * float64(ownSlots*regions.Len()) / float64(max(totalSlots, 1))
	stays := hashFraction("home", query.affinity()) < share
	return func(srv *server) bool { return (srv.registration.Region() == p.region) == stays }
}

// spread returns how many servers of a service may get an object at the given
// utilisation of the service.
func spread(utilisation float64) int {
	if utilisation > busyUtilisation {
		return busySpread
	}
	return normalSpread
}

// utilisation returns the load of a service as a fraction of the slots of the servers that
// want requests.
func (p *Placer) utilisation(now time.Time, s *service) float64 {
	load, slots := 0.0, 0
	for _, srv := range s.servers {
		if _, isQuiet := p.backoff.QuietUntil(now, srv.registration); isQuiet || p.backoff.IsLeaving(srv.registration) {
			continue
		}
		load += srv.load(now)
		slots += srv.registration.Slots()
	}
	return load / float64(max(slots, 1))
}

// hasCapacity reports whether a server has capacity for one more request. maxQueue is
// the maximum queue length as a fraction of the server's slots. A server that was
// unreachable or is slow gets a single request at a time.
func (p *Placer) hasCapacity(now time.Time, s *service, srv *server, maxQueue float64) bool {
	if srv.paused(now) {
		return false
	}
	slots := float64(srv.registration.Slots())
	if srv.cold(now) {
		return srv.load(now) < slots && p.sendsToCold(srv) && srv.pacer.ready(now)
	}
	if window, limited := p.backoff.Window(srv.registration); limited && srv.running >= window {
		return false
	}
	if srv.unreachable || srv.slow(s.latency) {
		return srv.running == 0 && srv.load(now) < slots
	}
	return srv.load(now)+1 <= slots*(1+maxQueue)+0.5
}

// sendsToCold reports whether this VM is one of the few that send to a cold server.
// Rendezvous hashing chooses them.
func (p *Placer) sendsToCold(srv *server) bool {
	vms := p.view.VMs()
	ownScore := hashFraction(srv.registration.ID(), p.vm)
	ahead := 0
	for _, vm := range vms {
		if vm.Name() != p.vm && hashFraction(srv.registration.ID(), vm.Name()) > ownScore {
			ahead++
		}
	}
	return ahead < vmsPerColdServer
}

// assign counts a request as running at a server and completes the choice.
func (p *Placer) assign(now time.Time, srv *server, choice Choice) Choice {
	if srv.cold(now) {
		rate := p.view.Policy().Service(srv.registration.Service()).ColdRate()
		srv.pacer.take(now, max(rate, 1)*coldShare/vmsPerColdServer)
	}
	choice.server, choice.load = srv.registration, srv.load(now)
	srv.running++
	return choice
}

// RecordOutcome records how a request to a server ended, and returns whether the server
// said for the first time that it wants no requests.
func (p *Placer) RecordOutcome(now time.Time, outcome Outcome) brbackoff.Change {
	p.endRequest(outcome.server)
	change := p.backoff.Record(now, outcome.server, outcome.report)
	if outcome.kind == brrequest.OutcomeAnswered {
		p.backoff.RecordAnswer(now, outcome.server)
	}
	if srv, ok := p.servers[outcome.server.ID()]; ok {
		p.recordAtServer(now, srv, outcome)
	}
	return change
}

// recordAtServer records an outcome in the state of the server and of its service.
func (p *Placer) recordAtServer(now time.Time, srv *server, outcome Outcome) {
	srv.recordOutcome(now, outcome)
	if outcome.serverDown || outcome.kind == brrequest.OutcomeNotSent {
		p.recordCrashes(now, srv)
	}
	s := p.service(srv.registration.Service())
	switch {
	case outcome.latency <= 0:
	case s.latency == 0:
		s.latency = outcome.latency
	default:
		s.latency += time.Duration(serviceLatencyWeight * float64(outcome.latency-s.latency))
	}
}

// Choice is the server picked for a request, with the figures behind the decision.
// It is immutable.
type Choice struct {
	server      brfleet.Server
	rank        int
	candidates  int
	load        float64
	utilisation float64
}

// Server returns the picked server.
func (c Choice) Server() brfleet.Server { return c.server }

// Rank returns the server's position in the order of the request's object; 0 is
// the first.
func (c Choice) Rank() int { return c.rank }

// Candidates returns the number of candidate servers.
func (c Choice) Candidates() int { return c.candidates }

// Load returns the estimated number of requests at the server before this one.
func (c Choice) Load() float64 { return c.load }

// Utilisation returns the estimated load of the service, as a fraction of its slots.
func (c Choice) Utilisation() float64 { return c.utilisation }
