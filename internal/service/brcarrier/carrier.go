// Package brcarrier carries one caller's request to a backend server and the
// answer back, on the goroutine that the front end gave it.
//
// A request passes the configuration, the list of requests of which servers die,
// its organisation's quota and the choice of a server. It is sent again only where that is safe, and ends at the moment
// at which its route or its caller gives up.
//
// # Usage
//
//	carrier := brcarrier.New(clock, replicating, metering, placing, poisoning, upstream, journal)
//	result := carrier.Carry(ctx, request, call, writer)
//	if !result.Started() {
//		// write a refusal with result.Reason() and result.RetryAfter()
//	}
package brcarrier

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/decide/brplace"
	"bergamotroad.example/bergamotroad/internal/decide/brquota"
	"bergamotroad.example/bergamotroad/internal/duty/brplacing"
	"bergamotroad.example/bergamotroad/internal/duty/brreplicating"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Upstream sends requests to backend servers.
type Upstream interface {
	// Send sends a request once, with the errors of brbackend.
	Send(ctx context.Context, server brfleet.Server, request brrequest.Request, organisation string, left time.Duration, call brmessage.Call) (*brmessage.Answer, broption.Option[brfleet.Load], error)
	// IsDead reports whether nothing listens at a server's address any more.
	IsDead(ctx context.Context, server brfleet.Server) bool
}

// Replica tells what the VM believes of the fleet.
type Replica interface {
	// State returns what the VM knows now.
	State() *brreplicating.State
}

// Metering keeps organisations to their quotas.
type Metering interface {
	// Admit rules whether a request is within its organisation's quota.
	Admit(ctx context.Context, organisation brfleet.Organisation) (brquota.Ruling, error)
	// Refund gives back the token of a request that did not run.
	Refund(organisation brfleet.Organisation)
}

// Placing gives requests their servers.
type Placing interface {
	// Place gives a request a server, or lets it wait for one.
	Place(ctx context.Context, ask brplace.Ask, patience time.Duration) (brplacing.Answer, error)
	// Retry gives a request another server at once.
	Retry(ctx context.Context, ask brplace.Ask) (brplacing.Answer, error)
	// Settle takes note of how a request ended at its server.
	Settle(outcome brplace.Outcome, verdict brplacing.Verdict)
}

// Poisoning knows the requests of which servers die.
type Poisoning interface {
	// Refused returns until when a request is refused, if it is.
	Refused(fingerprint brrequest.Fingerprint) (time.Time, bool)
	// Ran tells that a server ran a request to its end.
	Ran(fingerprint brrequest.Fingerprint)
}

// Journal takes the decisions.
type Journal interface {
	// Decision reports a decision about a request that went as it should.
	Decision(request, outcome string, fields ...any)
	// Failure reports a decision by which a request is refused, repeated or fails.
	Failure(request, outcome string, fields ...any)
}

// Writer takes an answer.
type Writer interface {
	// WriteHead starts the answer; size is that of the body in bytes, or -1.
	WriteHead(status int, fields brmessage.Fields, size int64)
	// Write sends a part of the body.
	Write(part []byte) (int, error)
}

// Carrier carries requests.
type Carrier struct {
	clock     brclock.Clock
	replica   Replica
	metering  Metering
	placing   Placing
	poisoning Poisoning
	upstream  Upstream
	journal   Journal
	measures  measures
}

// New returns the carrier of a VM.
func New(clock brclock.Clock, replica Replica, metering Metering, placing Placing, poisoning Poisoning, upstream Upstream, journal Journal) *Carrier {
	return &Carrier{
		clock: clock, replica: replica, metering: metering, placing: placing, poisoning: poisoning,
		upstream: upstream, journal: journal, measures: newMeasures(),
	}
}

// Collectors returns the carrier's metrics.
func (c *Carrier) Collectors() []prometheus.Collector { return c.measures.collectors() }

// Result is how a request ended. It is immutable.
type Result struct {
	fate       brrequest.Fate
	reason     brrequest.Reason
	retryAfter time.Duration
	started    bool
	whole      bool
	status     int
}

// Reason returns why the request was refused or failed, or ReasonNone.
func (r Result) Reason() brrequest.Reason { return r.reason }

// Fate returns whether the request ran.
func (r Result) Fate() brrequest.Fate { return r.fate }

// RetryAfter returns the time after which another try makes sense, or 0.
func (r Result) RetryAfter() time.Duration { return r.retryAfter }

// Started reports whether an answer was begun.
func (r Result) Started() bool { return r.started }

// Whole reports whether the answer was passed on to its end.
func (r Result) Whole() bool { return r.whole }

func refused(reason brrequest.Reason, retryAfter time.Duration) Result {
	return Result{fate: brrequest.FateNotRun, reason: reason, retryAfter: retryAfter}
}

// Carry carries a request. It writes nothing where the request was refused or
// failed before an answer began.
func (c *Carrier) Carry(ctx context.Context, request brrequest.Request, call brmessage.Call, writer Writer) Result {
	j := &job{request: request, call: call, writer: writer, arrived: request.Arrived()}
	result := c.carry(ctx, j)
	c.finish(j, result)
	return result
}

func (c *Carrier) carry(ctx context.Context, j *job) Result {
	state := c.replica.State()
	j.take(c.clock.Now(), state)
	if result, ok := c.route(j, state.View().Policy()); !ok {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, j.giveUp.Sub(c.clock.Now()))
	defer cancel()
	if err := j.readBody(); err != nil {
		return refused(brrequest.ReasonCallerGone, 0)
	}
	j.recognise()
	if left, ok := c.poisoned(j); ok {
		c.journal.Failure(j.request.ID(), "kills servers", "fingerprint", j.fingerprint.String(), "refused_for_ms", left.Milliseconds())
		return refused(brrequest.ReasonPoison, left)
	}
	if result, ok := c.meter(ctx, j); !ok {
		return result
	}
	result := c.run(ctx, j)
	if result.fate == brrequest.FateNotRun && j.organisation.Limited() {
		c.metering.Refund(j.organisation)
	}
	return result
}

// route finds the request's route and organisation in the configuration.
func (c *Carrier) route(j *job, policy brfleet.Policy) (Result, bool) {
	if !policy.Known() {
		return refused(brrequest.ReasonNoConfiguration, startRetryAfter), false
	}
	route, ok := policy.Match(j.request.Host(), j.request.Path())
	if !ok {
		return refused(brrequest.ReasonNoRoute, 0), false
	}
	j.setRoute(route)
	if route.Public() {
		return Result{}, true
	}
	organisation, ok := policy.OrganisationOf(j.request.Key())
	if !ok {
		return refused(brrequest.ReasonUnknownKey, 0), false
	}
	j.organisation = organisation
	j.ask = j.ask.WithPriority(organisation.Priority()*priorityLevels + route.Priority()).WithHomes(organisation.Homes())
	return Result{}, true
}

// poisoned returns for how long a request of which servers die is refused.
func (c *Carrier) poisoned(j *job) (time.Duration, bool) {
	until, ok := c.poisoning.Refused(j.fingerprint)
	left := until.Sub(c.clock.Now())
	return left, ok && left > 0
}

func (c *Carrier) meter(ctx context.Context, j *job) (Result, bool) {
	if !j.organisation.Limited() {
		return Result{}, true
	}
	ruling, err := c.metering.Admit(ctx, j.organisation)
	if err != nil {
		return gaveUp(ctx, refused(brrequest.ReasonOverloaded, crowdRetryAfter)), false
	}
	if ruling.Admitted() {
		return Result{}, true
	}
	c.journal.Failure(j.request.ID(), "over quota", "organisation", j.organisation.Name(), "rate", j.organisation.Rate(),
		"own_rate", ruling.Rate(), "own_depth", ruling.Depth(), "owed", ruling.Owed(), "lender", ruling.Lender(), "lender_silent", ruling.LenderSilent(), "fleet_asked", ruling.Asked(),
		"fleet_age_ms", c.clock.Now().Sub(ruling.AsOf()).Milliseconds())
	return refused(brrequest.ReasonOverRate, ruling.Wait()), false
}

// gaveUp names the end of the caller's or the route's time as the reason of an
// early end, if that is it.
func gaveUp(ctx context.Context, result Result) Result {
	switch context.Cause(ctx) {
	case nil:
	case context.DeadlineExceeded:
		result.reason = brrequest.ReasonDeadline
	default:
		result.reason = brrequest.ReasonCallerGone
	}
	return result
}
