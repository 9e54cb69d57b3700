package brplacement

import (
	"maps"
	"math"
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

const (
	// maxTolerance is the longest queue at a server, as a fraction of its slots, that is allowed
	// beyond the limits of the placement rules where the load is known from all VMs. The
	// rules leave room for the requests of other VMs that a VM doesn't know of.
	maxTolerance = 0.5
	// toleranceSpread is the range of these queues over the requests.
	toleranceSpread = 0.5
	// outcomeHalfLife is the half-life of the outcomes that VMs tell each other: long enough
	// for a few outcomes of one server, short enough to use a server that has recovered.
	outcomeHalfLife = 2 * time.Second
	// minBadOutcomes and maxBadFraction tell a failing server from one with a few faults.
	minBadOutcomes = 2
	maxBadFraction = 0.3
	// maxFailingFraction is the fraction of a service's slots at failing servers above which
	// the fault is not the servers' own, so that their outcomes are ignored.
	maxFailingFraction = 0.4
	// outcomeScale converts decaying counts of outcomes to the integers of reports.
	outcomeScale = 16
)

// fleetLoad holds which services' loads the VMs exchange, and what this VM last reported.
//
// With many VMs and servers, a VM sends to a server so rarely that what the server reported
// last says nothing when it sends again, and that it can't tell a failing server by its own
// requests. VMs therefore tell each other how many requests they have at each server and
// how their requests ended there, for the services whose routes compete for the same servers
// with different priorities.
type fleetLoad struct {
	services map[string]bool                           // that exchange loads
	reported map[brstatus.ServerKey]brstatus.ServerUse // by this VM
}

func newFleetLoad() fleetLoad {
	return fleetLoad{services: map[string]bool{}}
}

// update begins to exchange the loads of the services for which routes compete.
func (f *fleetLoad) update(view *brfleet.View) {
	for name := range view.Servers() {
		if view.Policy().HasCompetingRoutes(name) {
			f.services[name] = true
		}
	}
}

// ExchangesLoads reports whether any service's load is exchanged with other VMs.
func (p *Placer) ExchangesLoads() bool { return len(p.fleetLoad.services) > 0 }

// ExchangedServices returns the services whose loads are exchanged, in ascending order.
func (p *Placer) ExchangedServices() []string {
	return slices.Sorted(maps.Keys(p.fleetLoad.services))
}

// FailingServers returns the number of servers that fail by the outcomes of all VMs, for each
// service whose loads are exchanged.
func (p *Placer) FailingServers() map[string]int {
	failing := map[string]int{}
	for name := range p.fleetLoad.services {
		failing[name] = 0
		for _, srv := range p.service(name).servers {
			if srv.failing {
				failing[name]++
			}
		}
	}
	return failing
}

// ServerUses returns what this VM has at the servers whose loads are exchanged, for the
// report to other VMs. Outcomes are reported only for servers at which any VM saw bad ones.
func (p *Placer) ServerUses(now time.Time) map[brstatus.ServerKey]brstatus.ServerUse {
	uses := map[brstatus.ServerKey]brstatus.ServerUse{}
	for name := range p.fleetLoad.services {
		for _, srv := range p.service(name).servers {
			use := brstatus.NewServerUse(uint32(srv.running))
			bad, all := srv.outcomes.counts(now)
			if bad > 0 || srv.fleetOutcomes.Bad() > 0 {
				use = use.WithOutcomes(bad, all)
			}
			if use != (brstatus.ServerUse{}) {
				uses[srv.key] = use
			}
		}
	}
	p.fleetLoad.reported = uses
	return uses
}

// SetFleetUses sets what all VMs have at servers. The counts include those that this VM
// reported.
func (p *Placer) SetFleetUses(now time.Time, uses map[brstatus.ServerKey]brstatus.ServerUse) {
	for name := range p.fleetLoad.services {
		s := p.service(name)
		for _, srv := range s.servers {
			use := uses[srv.key]
			own := p.fleetLoad.reported[srv.key]
			srv.peerLoad.observeExchanged(now, math.Max(float64(use.Running())-float64(own.Running()), 0))
			srv.fleetOutcomes = use
			srv.failing = showsFailure(use)
		}
		s.ignoreCommonFailure()
	}
	p.resetUtilisations()
}

// showsFailure reports whether the outcomes of all VMs show that a server can't serve.
func showsFailure(use brstatus.ServerUse) bool {
	bad := float64(use.Bad()) / outcomeScale
	return bad >= minBadOutcomes && float64(use.Bad()) > maxBadFraction*float64(use.All())
}

// ignoreCommonFailure uses failing servers as usual if they are a large part of the service.
func (s *service) ignoreCommonFailure() {
	failing, all := 0, 0
	for _, srv := range s.servers {
		all += srv.registration.Slots()
		if srv.failing {
			failing += srv.registration.Slots()
		}
	}
	if float64(failing) <= maxFailingFraction*float64(all) {
		return
	}
	for _, srv := range s.servers {
		srv.failing = false
	}
}

// queueTolerance returns which queue at a server, as a fraction of its slots, a request may
// meet beyond what the placement rules say, where the load is known from all VMs. It differs
// by request: the exchanged loads are some hundred milliseconds old, and with one limit for
// all requests, all VMs would send to a server as soon as they see its load below the limit,
// and none for as long once they see it above.
func (p *Placer) queueTolerance(query Query) float64 {
	if !p.fleetLoad.services[query.service] {
		return 0
	}
	return maxTolerance - toleranceSpread*hashFraction("limit", query.request)
}

// isFailing reports whether a server fails by recent outcomes of all VMs.
func (s *server) isFailing(now time.Time) bool {
	return s.failing && s.peerLoad.isExchanged(now)
}

// isOut reports whether a server gets no requests from any VM for now.
func (s *server) isOut(now time.Time) bool {
	return s.registration.Draining() || s.evacuated || s.isFailing(now) || s.paused(now)
}

// outcomeCounts counts outcomes at a server; the counts decay with outcomeHalfLife.
type outcomeCounts struct {
	bad float64
	all float64
	at  time.Time
}

// record counts the outcome of a request.
func (c *outcomeCounts) record(now time.Time, bad bool) {
	kept := decay(now.Sub(c.at), outcomeHalfLife)
	c.bad, c.all, c.at = c.bad*kept, c.all*kept+1, now
	if bad {
		c.bad++
	}
}

// counts returns the scaled counts of bad outcomes and of all outcomes.
func (c *outcomeCounts) counts(now time.Time) (bad, all uint32) {
	kept := decay(now.Sub(c.at), outcomeHalfLife) * outcomeScale
	return uint32(c.bad * kept), uint32(c.all * kept)
}

// isBad reports whether an outcome shows that the server can't serve: a fault, no connection,
// a response that breaks off or doesn't come in time, or a rejection although slots are free
// by what it reports or, without a report, by the estimated load.
func isBad(o Outcome, load float64, slots int) bool {
	switch o.kind {
	case brrequest.OutcomeFault, brrequest.OutcomeBroken, brrequest.OutcomeNotSent:
		return true
	case brrequest.OutcomeShed:
		if reported, ok := o.report.Load().Get(); ok {
			load = float64(reported.Running())
		}
		return o.report.RetryAfter() <= 0 && load < float64(slots)
	case brrequest.OutcomeCancelled:
		return o.timedOut
	default:
		return false
	}
}
