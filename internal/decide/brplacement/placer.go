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

	"bergamotroad.example/bergamotroad/internal/decide/braffinity"
	"bergamotroad.example/bergamotroad/internal/decide/brbackoff"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

const (
	// busyUtilisation is the utilisation of a service, as a fraction of its slots,
	// above which an object is kept to busySpread servers, which have it cached.
	busyUtilisation = 0.6
	// vmsPerColdServer is the number of VMs that send to one cold server. It is small
	// so that the total rate stays bounded even when the VMs can't communicate.
	vmsPerColdServer = 2
	// coldShare is the fraction of a cold server's rate that these VMs use together.
	coldShare = 0.9
	// utilisationLifetime is how long the utilisation of a service is used while nothing is
	// recorded: estimated loads hardly fall in that time.
	utilisationLifetime = 10 * time.Millisecond
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
	selector  *braffinity.Selector[*server, braffinity.Weighted]
	firsts    *braffinity.Tracker
	fleetLoad fleetLoad
}

// service holds the servers of one service.
type service struct {
	servers  []*server // ordered by identifier
	versions versions
	latency  time.Duration
	// load and slots are the sums over the servers as of utilisationAt.
	load          float64
	slots         int
	utilisationAt time.Time
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
		selector:  braffinity.NewSelector[*server, braffinity.Weighted](region),
		firsts:    braffinity.NewTracker(),
		fleetLoad: newFleetLoad(),
	}
}

// Update sets the current view of the fleet.
func (p *Placer) Update(now time.Time, view *brfleet.View) {
	p.view = view
	p.fleetLoad.update(view)
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
	p.resetUtilisations()
}

// resetUtilisations makes the utilisations of all services be computed anew.
func (p *Placer) resetUtilisations() {
	for _, s := range p.services {
		s.utilisationAt = time.Time{}
	}
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
		s = &server{registration: registration, key: brstatus.NewServerKey(registration.ID()), listedAt: now}
	}
	if remaining := registration.ColdRemaining(); remaining > 0 && (!ok || s.registration.ColdRemaining() != remaining || s.coldUntil.IsZero()) {
		s.coldUntil = now.Add(remaining)
	}
	if since, returned := p.returns.observe(now, registration.Domain(), p.view.Evacuated(registration.Domain())); returned {
		coldTime := max(p.view.Policy().Service(registration.Service()).ColdTime(), recoveryTime)
		s.coldUntil = latest(s.coldUntil, since.Add(coldTime))
	}
	s.registration = registration
	s.leaving = p.backoff.IsLeaving(registration)
	s.evacuated = p.view.Evacuated(registration.Domain())
	s.node = braffinity.NewNode(registration.ID(), registration.Region(), registration.Slots())
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
		if choice, ok := p.pickFrom(now, s, query, p.pool(now, s, query, allowed)); ok {
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

// eligible reports whether a server may run a request, now or once it wants requests
// again.
func (p *Placer) eligible(now time.Time, srv *server, query Query, allowed func(string) bool) bool {
	if !p.isMember(srv, query, allowed) || srv.evacuated {
		return false
	}
	return !srv.ejected(now) && !slices.Contains(query.excluded, srv.registration.ID())
}

// pickFrom picks one of the servers of a pool by the placement rules.
func (p *Placer) pickFrom(now time.Time, s *service, query Query, pool *braffinity.Pool[*server]) (Choice, bool) {
	candidates := len(pool.Usable())
	if candidates == 0 {
		return Choice{}, false
	}
	utilisation := p.utilisation(now, s, query.service)
	near := p.selector.Order(query.affinity(), pool, spread(utilisation))
	p.recordFirst(now, query, pool, near[0])
	tolerance := p.queueTolerance(query)
	for _, rule := range placementRules {
		for i, srv := range near {
			if rule.applies(now, query, i, srv) && p.hasCapacity(now, s, srv, rule.maxQueue+tolerance) {
				srv.recent.add(now, query.object)
				return p.assign(now, srv, Choice{rank: i, candidates: candidates, utilisation: utilisation}), true
			}
		}
	}
	return Choice{}, false
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
// want requests. It is computed anew at each change of the state and otherwise after
// utilisationLifetime, since it walks all servers of the service.
func (p *Placer) utilisation(now time.Time, s *service, name string) float64 {
	if now.Sub(s.utilisationAt) > utilisationLifetime || now.Before(s.utilisationAt) {
		s.load, s.slots = p.serviceLoad(now, s, name)
		s.utilisationAt = now
	}
	return s.load / float64(max(s.slots, 1))
}

// serviceLoad returns the number of requests at the servers of a service and of their slots.
func (p *Placer) serviceLoad(now time.Time, s *service, name string) (load float64, slots int) {
	exchanged := p.fleetLoad.services[name]
	for _, srv := range s.servers {
		if srv.leaving || p.isQuiet(now, srv) || exchanged && srv.isOut(now) {
			continue
		}
		load += srv.load(now)
		slots += srv.registration.Slots()
	}
	return load, slots
}

// isQuiet reports whether a server wants no requests now.
func (p *Placer) isQuiet(now time.Time, srv *server) bool {
	if !p.backoff.HasQuiet() {
		return false
	}
	_, isQuiet := p.backoff.QuietUntil(now, srv.registration)
	return isQuiet
}

// hasCapacity reports whether a server has capacity for one more request. maxQueue is
// the maximum queue length as a fraction of the server's slots. A server that was
// unreachable or is slow gets a single request at a time, and one that fails at other VMs
// too gets them from a few VMs only, which find out when it has recovered.
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
	failing := srv.isFailing(now)
	if failing && !p.sendsToCold(srv) {
		return false
	}
	if failing || srv.unreachable || srv.slow(s.latency) {
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
	choice.server, choice.load, choice.cold = srv.registration, srv.load(now), srv.cold(now)
	srv.running++
	p.service(srv.registration.Service()).load++
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
		srv.leaving = p.backoff.IsLeaving(srv.registration)
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
	s.utilisationAt = time.Time{}
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
	cold        bool
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

// IsCold reports whether the server had just started, so that its responses take longer.
func (c Choice) IsCold() bool { return c.cold }
