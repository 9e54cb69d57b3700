package brassignment

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brbackoff"
	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/decide/brretry"
	"bergamotroad.example/bergamotroad/internal/duty/braggregator"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

// handler owns the state of the servers, the queue of requests that wait for one,
// and the retry budgets.
type handler struct {
	clock       brclock.Clock
	placer      *brplacement.Placer
	queue       brplacement.Queue[brring.Reply[Assignment]]
	retryBudget *brretry.Budget
	bounds      brfleet.Bounds
	aggregator  *braggregator.Aggregator
	detector    PoisonDetector
	view        *brfleet.View
	tallies     map[brrecord.Revision]brstatus.Tally // by revision of the rollout
	// talliesChanged means that the tallies differ from those published last.
	talliesChanged bool
	journal        Journal
	moves          *moveReporter
	metrics        metrics
	open           atomic.Int64 // see maxOpen
	// nextExchange is when the loads of servers are exchanged with other VMs again.
	nextExchange time.Time
	fleetAsOf    time.Time // of the fleet's loads in use
	exchanged    []string  // services whose loads are exchanged
}

func newHandler(clock brclock.Clock, self brfleet.VM, bounds brfleet.Bounds, aggregator *braggregator.Aggregator, detector PoisonDetector, journal Journal) *handler {
	return &handler{
		clock: clock, placer: brplacement.New(self.Name(), self.Region()), retryBudget: brretry.NewBudget(), bounds: bounds,
		aggregator: aggregator, detector: detector,
		view: &brfleet.View{}, tallies: map[brrecord.Revision]brstatus.Tally{},
		journal: journal,
		metrics: newMetrics(),
		moves:   newMoveReporter(journal),
	}
}

// Handle processes one message.
func (h *handler) Handle(_ context.Context, m message) {
	now := h.clock.Now()
	switch m.kind {
	case kindPlace:
		h.place(now, m)
	case kindRetry:
		h.retry(now, m)
	case kindOutcome:
		h.open.Add(-1)
		if m.ending.unsentRetry {
			h.retryBudget.Refund(m.ending.outcome.Server().Service())
		}
		h.recordOutcome(now, m.ending.outcome)
		h.tally(m.ending.result)
		h.serve(now)
	case kindExposures:
		h.placer.SetExposures(m.exposures)
	default:
	}
}

// Update applies a new view of the fleet.
func (h *handler) Update(_ context.Context, view *brfleet.View) {
	now := h.clock.Now()
	h.view = view
	h.placer.Update(now, view)
	h.reportCrashes()
	h.dropTallies()
	h.serve(now)
}

// Tick tries to assign the queued requests to servers and answers those whose wait
// has expired.
func (h *handler) Tick(_ context.Context, now time.Time) {
	h.moves.report(now, h.placer.TakeMoves())
	h.exchangeLoads(now)
	h.publishTallies()
	h.serve(now)
	h.metrics.publishRunning(now, h.placer.Running)
	for _, reply := range h.queue.Expire(now) {
		reply.Answer(Assignment{hasCandidates: true, waiting: h.queue.Len()})
	}
}

// recordOutcome records how a request ended. If its server wants no more requests, those
// that wait for no other server are answered at once.
func (h *handler) recordOutcome(now time.Time, outcome brplacement.Outcome) {
	switch server := outcome.Server(); h.placer.RecordOutcome(now, outcome) {
	case brbackoff.Left:
		h.metrics.notices.WithLabelValues(noticeLeaving).Inc()
		h.journal.StateChange("server leaves", "server", server.ID(), "service", server.Service(), "address", server.Address(), "started", server.StartUnixMilli())
		h.answerHopeless(now)
	case brbackoff.Quiet:
		h.metrics.notices.WithLabelValues(noticeQuiet).Inc()
		h.journal.StateChange("server wants no requests", "server", server.ID(), "service", server.Service(), "retry_after_ms", outcome.Report().RetryAfter().Milliseconds())
		h.answerHopeless(now)
	default:
	}
	h.reportCrashes()
}

// answerHopeless answers the waiting requests that no server may run any more.
func (h *handler) answerHopeless(now time.Time) {
	h.queue.Serve(func(query brplacement.Query, reply brring.Reply[Assignment]) bool {
		availability := h.placer.Availability(now, query)
		if !availability.HasCandidates() {
			reply.Answer(h.unassigned(now, availability))
		}
		return !availability.HasCandidates()
	})
}

// unassigned returns the assignment of a request for which no server has room.
func (h *handler) unassigned(now time.Time, availability brplacement.Availability) Assignment {
	assignment := Assignment{hasCandidates: availability.HasCandidates(), waiting: h.queue.Len()}
	if until, quiet := availability.QuietUntil(); quiet {
		assignment.retryAfter = until.Sub(now)
	}
	return assignment
}

// exchangeLoads reports this VM's requests at servers to the other VMs and takes over what
// the whole fleet has there, if the loads of any service are exchanged.
func (h *handler) exchangeLoads(now time.Time) {
	if !h.placer.ExchangesLoads() || now.Before(h.nextExchange) {
		return
	}
	h.nextExchange = now.Add(exchangeInterval)
	services := h.placer.ExchangedServices()
	if !slices.Equal(services, h.exchanged) {
		h.exchanged = services
		h.journal.StateChange("loads of servers exchanged", "services", services)
	}
	h.setRetryLimits(services)
	for service, count := range h.placer.FailingServers() {
		h.metrics.failing.WithLabelValues(service).Set(float64(count))
	}
	if summary := h.aggregator.Summary(); summary.AsOf().After(h.fleetAsOf) {
		h.fleetAsOf = summary.AsOf()
		h.placer.SetFleetUses(now, summary.Fleet().Servers())
	}
	h.aggregator.SetServers(h.placer.ServerUses(now))
}

// setRetryLimits lets this VM use its part of the retries that the operators allow, for the
// services whose loads are exchanged: their retries go to servers that have capacity.
func (h *handler) setRetryLimits(services []string) {
	if h.bounds.RetryRatio() <= 0 {
		return
	}
	burst := retryMargin * h.bounds.RetrySlack() / float64(max(len(h.view.VMs()), 1))
	for _, service := range services {
		h.retryBudget.SetLimits(service, brretry.NewLimits(retryMargin*h.bounds.RetryRatio(), burst))
	}
}

// Due returns the time until the queue is scanned again, if any request is queued, or until
// the next exchange of loads.
func (h *handler) Due(now time.Time) (time.Duration, bool) {
	next, waiting := h.queue.NextExpiry()
	if waiting {
		return min(max(next.Sub(now), 0), rescanInterval), true
	}
	return h.nextExchange.Sub(now), h.placer.ExchangesLoads()
}

func (h *handler) place(now time.Time, m message) {
	h.retryBudget.Earn(m.query.Service())
	if h.queue.Len() == 0 && h.assign(now, m.query, m.reply) != unassigned {
		return
	}
	availability := h.placer.Availability(now, m.query)
	if !availability.HasCandidates() {
		m.reply.Answer(h.unassigned(now, availability))
		return
	}
	if m.maxWait <= 0 || !h.queue.Add(m.query, now.Add(m.maxWait), m.reply) {
		m.reply.Answer(Assignment{hasCandidates: true, waiting: h.queue.Len()})
		return
	}
	h.serve(now)
}

// retry assigns a request to another server. The retry budget is charged only for a retry
// that is sent.
func (h *handler) retry(now time.Time, m message) {
	service := m.query.Service()
	if h.retryBudget.Spend(service) {
		settled := h.assign(now, m.query, m.reply)
		if settled == assigned {
			return
		}
		h.retryBudget.Refund(service)
		if settled == abandoned {
			return
		}
	}
	// The caller's next attempt may use all servers again.
	m.reply.Answer(h.unassigned(now, h.placer.Availability(now, m.query.WithoutExclusions())))
}

// serve tries to assign the queued requests to servers, in queue order.
func (h *handler) serve(now time.Time) {
	h.queue.Serve(func(query brplacement.Query, reply brring.Reply[Assignment]) bool {
		return h.assign(now, query, reply) != unassigned
	})
}

// assignResult is the result of an attempt to assign a request to a server.
type assignResult int

const (
	// unassigned means that no server has room.
	unassigned assignResult = iota
	// assigned means that the caller received the assignment.
	assigned
	// abandoned means that the caller no longer waits.
	abandoned
)

// assign assigns a request to a server. It takes the slot back if the caller has not
// received the assignment. All slots are taken here.
func (h *handler) assign(now time.Time, query brplacement.Query, reply brring.Reply[Assignment]) assignResult {
	if reply.IsAbandoned() {
		return abandoned
	}
	choice, ok := h.placer.Pick(now, query)
	if !ok {
		return unassigned
	}
	if !reply.Answer(Assignment{choice: choice, assigned: true}) {
		h.placer.RecordOutcome(now, brplacement.NewOutcome(choice.Server(), brrequest.OutcomeCancelled, 0))
		return abandoned
	}
	return assigned
}

// reportCrashes reports the servers that crashed while they ran a request.
func (h *handler) reportCrashes() {
	for _, crash := range h.placer.TakeCrashes() {
		h.detector.ReportCrash(crash.Request(), crash.Server())
	}
}

// tally counts a request towards the rollout of its service, if one is in progress. Counts
// of the target version are published at once, others with the next tick.
func (h *handler) tally(v VersionResult) {
	rollout, found := h.view.Rollout(v.service)
	if v.verdict == VersionUnjudged || !found || rollout.State().Ended() {
		return
	}
	h.tallies[rollout.Revision()] = h.tallies[rollout.Revision()].Add(v.tally(rollout.Target()))
	h.talliesChanged = true
	if v.version == rollout.Target() {
		h.publishTallies()
	}
}

// publishTallies passes the tallies on if they have changed since the last call.
func (h *handler) publishTallies() {
	if !h.talliesChanged {
		return
	}
	h.talliesChanged = false
	h.aggregator.SetTallies(maps.Clone(h.tallies))
}

// dropTallies removes the tallies of rollouts that are no longer in the view.
func (h *handler) dropTallies() {
	known := map[brrecord.Revision]bool{}
	for _, r := range h.view.Rollouts() {
		known[r.Revision()] = true
	}
	maps.DeleteFunc(h.tallies, func(revision brrecord.Revision, _ brstatus.Tally) bool { return !known[revision] })
}
