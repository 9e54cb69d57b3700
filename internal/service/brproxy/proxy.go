// Package brproxy forwards a caller's request to a backend server and returns
// the response, on the front end's goroutine for the request.
//
// A request is matched to a route and an organisation, checked against the list
// of poison requests, which crash servers, and against its organisation's quota;
// then a server is chosen. It is retried only where that is safe, and ends at the
// route's or the caller's deadline, whichever comes first.
//
// # Usage
//
//	proxy := brproxy.New(clock, replicator, limiter, assigner, detector, reservations, upstream, journal)
//	result := proxy.Forward(ctx, request, call, writer)
//	if !result.Started() {
//		// write an error response with result.Reason() and result.RetryAfter()
//	}
package brproxy

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/decide/brquota"
	"bergamotroad.example/bergamotroad/internal/duty/brassignment"
	"bergamotroad.example/bergamotroad/internal/duty/brreplicator"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Upstream sends requests to backend servers.
type Upstream interface {
	// Send sends a request to a server once; remaining is the time until its deadline.
	// It returns what the server said about itself, also with an error, and the errors of
	// brbackend.
	Send(ctx context.Context, server brfleet.Server, request brrequest.Request, organisation string, remaining time.Duration, call brmessage.Call) (*brmessage.Response, brfleet.ServerReport, error)
	// IsDead reports whether nothing listens on a server's address any more.
	IsDead(ctx context.Context, server brfleet.Server) bool
}

// Replica is the VM's copy of the fleet's configuration and servers.
type Replica interface {
	// State returns the current state of the copy.
	State() *brreplicator.State
}

// QuotaLimiter enforces the quotas of organisations.
type QuotaLimiter interface {
	// Admit decides whether a request is within its organisation's quota.
	Admit(ctx context.Context, organisation brfleet.Organisation) (brquota.Decision, error)
	// Refund returns the token of a request that did not run.
	Refund(organisation brfleet.Organisation)
}

// ServerSelector chooses servers for requests.
type ServerSelector interface {
	// Place chooses a server for a request, or queues the request for up to maxWait, and
	// calls attempt with the server.
	Place(ctx context.Context, query brplacement.Query, maxWait time.Duration, attempt brassignment.Attempt) (brassignment.Assignment, error)
	// Retry chooses another server for a request without queueing it, and calls attempt with
	// the server.
	Retry(ctx context.Context, query brplacement.Query, attempt brassignment.Attempt) (brassignment.Assignment, error)
}

// PoisonDetector detects poison requests: requests that crash the servers that run them.
type PoisonDetector interface {
	// Refused returns the time until which a request is refused as poison, if it is.
	Refused(fingerprint brrequest.Fingerprint) (time.Time, bool)
	// ReportCompletion records that a server ran a request without crashing.
	ReportCompletion(fingerprint brrequest.Fingerprint)
}

// Journal logs the decisions about requests.
type Journal interface {
	// Decision logs the outcome of a request that was answered.
	Decision(request, outcome string, fields ...any)
	// Failure logs that a request was refused, retried or failed.
	Failure(request, outcome string, fields ...any)
}

// Writer writes the response to the caller.
type Writer interface {
	// WriteHead writes the status and the header fields; size is the length of the
	// body in bytes, or -1 if unknown.
	WriteHead(status int, fields brmessage.Fields, size int64)
	// Write writes a part of the body.
	Write(part []byte) (int, error)
}

// Proxy forwards requests to backend servers.
type Proxy struct {
	clock    brclock.Clock
	replica  Replica
	quotas   QuotaLimiter
	servers  ServerSelector
	poison   PoisonDetector
	memory   BodyMemory
	upstream Upstream
	journal  Journal
	metrics  metrics
	usage    UsageCounter // nil if usage isn't metered

	maxRequests int64
	running     atomic.Int64
}

// New returns the proxy of a VM.
func New(clock brclock.Clock, replica Replica, quotas QuotaLimiter, servers ServerSelector, detector PoisonDetector, memory BodyMemory, upstream Upstream, journal Journal) *Proxy {
	return &Proxy{
		clock: clock, replica: replica, quotas: quotas, servers: servers, poison: detector,
		memory: memory, upstream: upstream, journal: journal, metrics: newMetrics(), maxRequests: math.MaxInt64,
	}
}

// SetUsage makes the proxy count the requests that ran. It must be called before the first
// request.
func (p *Proxy) SetUsage(counter UsageCounter) { p.usage = counter }

// WithMaxRequests sets the maximum number of requests in progress and returns the proxy. Others
// are refused at once. It must be called before the proxy is used.
func (p *Proxy) WithMaxRequests(count int) *Proxy {
	p.maxRequests = int64(count)
	return p
}

// Collectors returns the proxy's metrics.
func (p *Proxy) Collectors() []prometheus.Collector { return p.metrics.collectors() }

// Result is the final result of a request. It is immutable.
type Result struct {
	fate       brrequest.Fate
	reason     brrequest.Reason
	retryAfter time.Duration
	started    bool
	complete   bool
	status     int
}

// Reason returns why the request was refused or failed, or ReasonNone.
func (r Result) Reason() brrequest.Reason { return r.reason }

// Fate returns whether the request ran.
func (r Result) Fate() brrequest.Fate { return r.fate }

// RetryAfter returns the time after which the caller may retry, or 0 if unknown.
func (r Result) RetryAfter() time.Duration { return r.retryAfter }

// Started reports whether any part of a response was written.
func (r Result) Started() bool { return r.started }

// IsComplete reports whether the response was written completely.
func (r Result) IsComplete() bool { return r.complete }

func refused(reason brrequest.Reason, retryAfter time.Duration) Result {
	return Result{fate: brrequest.FateNotRun, reason: reason, retryAfter: retryAfter}
}

// Forward forwards a request and writes the response. It writes nothing if the
// request was refused, or failed before a response was available.
func (p *Proxy) Forward(ctx context.Context, request brrequest.Request, call brmessage.Call, writer Writer) Result {
	j := &job{request: request, call: call, writer: writer, memory: p.memory, arrived: request.Arrived()}
	j.writer = callerWriter{Writer: writer, failure: &j.caller}
	defer p.running.Add(-1)
	result := refused(brrequest.ReasonTooManyRequests, j.overloadRetryAfter())
	if p.running.Add(1) <= p.maxRequests {
		result = p.forwardJob(ctx, j)
	}
	p.recordResult(j, result)
	return result
}

func (p *Proxy) forwardJob(ctx context.Context, j *job) Result {
	state := p.replica.State()
	j.recordState(p.clock.Now(), state)
	if result, ok := p.route(j, state.View().Policy()); !ok {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, j.deadline.Sub(p.clock.Now()))
	defer cancel()
	defer j.releaseMemory()
	if result, ok := j.readBody(ctx); !ok {
		return result
	}
	j.setFingerprint()
	if remaining, ok := p.refusedAsPoison(j); ok {
		p.journal.Failure(j.request.ID(), "kills servers", "fingerprint", j.fingerprint.String(), "refused_for_ms", remaining.Milliseconds())
		return refused(brrequest.ReasonPoison, remaining)
	}
	if result, ok := p.checkQuota(ctx, j); !ok {
		return result
	}
	result := p.run(ctx, j)
	if result.fate == brrequest.FateNotRun && j.organisation.Limited() {
		p.quotas.Refund(j.organisation)
	}
	return result
}

// route finds the request's route and organisation in the configuration.
func (p *Proxy) route(j *job, policy brfleet.Policy) (Result, bool) {
	if !policy.Loaded() {
		return refused(brrequest.ReasonNoConfiguration, noConfigurationRetryAfter), false
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
	j.query = j.query.WithPriority(organisation.Priority()*priorityLevels + route.Priority()).WithAllowedRegions(organisation.AllowedRegions())
	return Result{}, true
}

// refusedAsPoison returns for how long a request is still refused as poison, if it is.
func (p *Proxy) refusedAsPoison(j *job) (time.Duration, bool) {
	until, ok := p.poison.Refused(j.fingerprint)
	remaining := until.Sub(p.clock.Now())
	return remaining, ok && remaining > 0
}

func (p *Proxy) checkQuota(ctx context.Context, j *job) (Result, bool) {
	if !j.organisation.Limited() {
		return Result{}, true
	}
	decision, err := p.quotas.Admit(ctx, j.organisation)
	if err != nil {
		return withContextReason(ctx, refused(brrequest.ReasonOverloaded, minOverloadRetryAfter)), false
	}
	if decision.Admitted() {
		return Result{}, true
	}
	p.journal.Failure(j.request.ID(), "over quota", "organisation", j.organisation.Name(), "rate", j.organisation.Rate(),
		"own_rate", decision.Rate(), "own_depth", decision.Depth(), "owed", decision.Level(), "lender", decision.Lender(), "lender_silent", decision.LenderSilent(), "fleet_asked", decision.FleetDemand(),
		"fleet_age_ms", p.clock.Now().Sub(decision.FleetDemandTime()).Milliseconds())
	return refused(brrequest.ReasonOverRate, decision.Wait()), false
}

// withContextReason replaces the reason of a result if the context has ended, because the
// deadline of the route or the caller has passed or because the caller disconnected.
func withContextReason(ctx context.Context, result Result) Result {
	switch context.Cause(ctx) {
	case nil:
	case context.DeadlineExceeded:
		result.reason = brrequest.ReasonDeadline
	default:
		result.reason = brrequest.ReasonCallerGone
	}
	return result
}
