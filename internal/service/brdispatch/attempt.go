package brdispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/decide/brpoison"
	"bergamotroad.example/bergamotroad/internal/decide/brretry"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brbackend"
)

// minServerErrorStatus is the lowest HTTP status that counts as a server error.
const minServerErrorStatus = 500

// attemptResult is the result of an attempt.
type attemptResult struct {
	fate       brrequest.Fate
	reason     brrequest.Reason
	retryAfter time.Duration
	started    bool // the header of a response was written
	complete   bool // the response was written to its end
	final      bool // the request is not retried
	status     int
}

// refusal returns the result of a request that did not run and is not retried.
func refusal(reason brrequest.Reason, retryAfter time.Duration) attemptResult {
	return attemptResult{fate: brrequest.FateNotRun, reason: reason, retryAfter: retryAfter, final: true}
}

// attemptUntilDone retries until an attempt succeeds or no retry is allowed. A
// request for which no server was available then waits once in the queue.
func (d *Dispatcher) attemptUntilDone(ctx context.Context, j *job) attemptResult {
	for {
		result := d.attempt(ctx, j)
		j.attempts++
		j.fate = brretry.Combine(j.fate, result.fate)
		if d.mayRetry(ctx, j, result) {
			continue
		}
		if mayQueue(ctx, j, result) {
			result = d.attemptQueued(ctx, j)
			j.fate = brretry.Combine(j.fate, result.fate)
		}
		result.fate = j.fate
		return result
	}
}

func (d *Dispatcher) mayRetry(ctx context.Context, j *job, result attemptResult) bool {
	return !result.final &&
		!result.started &&
		ctx.Err() == nil &&
		j.attempts < brretry.MaxAttempts &&
		brretry.Allowed(j.route().Repeat(), result.fate) &&
		j.body.rewind() &&
		d.retryBudgets.Spend(ctx, j.route().Name())
}

func (d *Dispatcher) attempt(ctx context.Context, j *job) attemptResult {
	server, err := d.balancer.Pick(ctx, j.placement)
	if err != nil {
		return d.attemptForwarded(ctx, j)
	}
	return d.attemptOnServer(ctx, j, server)
}

// attemptOnServer sends the request to a server of this failure domain. It refuses a
// poison request, and a suspected one while another suspect runs.
func (d *Dispatcher) attemptOnServer(ctx context.Context, j *job, server brconfig.Server) attemptResult {
	switch d.poisonDetector.Begin(ctx, j.fingerprint) {
	case brpoison.Refused:
		d.balancer.Release(brrequest.NewOutcome(server.Name(), brrequest.OutcomeCancelled, 0))
		return refusal(brrequest.ReasonPoison, 0)
	case brpoison.Deferred:
		d.balancer.Release(brrequest.NewOutcome(server.Name(), brrequest.OutcomeCancelled, 0))
		return refusal(brrequest.ReasonPoisonSuspect, time.Second)
	default:
		return d.sendToServer(ctx, j, server)
	}
}

// sendToServer sends the request and reports the outcome to load balancing and to
// poison detection.
func (d *Dispatcher) sendToServer(ctx context.Context, j *job, server brconfig.Server) attemptResult {
	j.placement = j.placement.Excluding(server.Name())
	d.events.Record(j.event(brevent.KindRequestSent).WithResource(server.Name()))
	sent := d.clock.Now()
	response, err := d.backend.Send(ctx, server, j.newCall(ctx, sent))
	latency := d.clock.Now().Sub(sent)
	result, kind := d.handleResponse(ctx, j, response, err)
	d.balancer.Release(brrequest.NewOutcome(server.Name(), kind, latency).WithRoute(j.route().Name()).WithFate(result.fate))
	d.reportToPoisonDetection(ctx, j, server, result, kind)
	return result
}

// handleResponse relays the response or, where there is none, classifies the error.
func (d *Dispatcher) handleResponse(ctx context.Context, j *job, response *brmessage.Response, err error) (attemptResult, brrequest.OutcomeKind) {
	if err != nil {
		return d.classifyError(ctx, j, err)
	}
	return d.relayResponse(ctx, j, response)
}

// relayResponse relays a response to the caller and classifies the outcome.
func (*Dispatcher) relayResponse(ctx context.Context, j *job, response *brmessage.Response) (attemptResult, brrequest.OutcomeKind) {
	defer func() { _ = response.Close() }()
	result := attemptResult{fate: brrequest.FateRan, started: true, status: response.Status()}
	err := relay(response, j.writer)
	result.complete = err == nil
	switch {
	case err != nil && ctx.Err() != nil:
		result.reason = contextReason(ctx)
		return result, brrequest.OutcomeCancelled
	case isErrTruncated(err):
		result.reason = brrequest.ReasonServerFailed
		return result, brrequest.OutcomeBroken
	case err != nil:
		result.reason = brrequest.ReasonCallerGone
		return result, brrequest.OutcomeCancelled
	case response.Status() >= minServerErrorStatus:
		return result, brrequest.OutcomeFault
	default:
		return result, brrequest.OutcomeAnswered
	}
}

// classifyError maps the error of an attempt without a response to the result for
// the caller and the outcome that is reported for the server.
func (d *Dispatcher) classifyError(ctx context.Context, j *job, err error) (attemptResult, brrequest.OutcomeKind) {
	result := attemptResult{fate: brrequest.FateUnknown, reason: brrequest.ReasonServerFailed}
	kind := brrequest.OutcomeBroken
	if shed, ok := errors.Into[brbackend.ErrShed](err); ok {
		result = attemptResult{fate: brrequest.FateNotRun, reason: brrequest.ReasonOverloaded, retryAfter: max(shed.RetryAfter(), time.Second)}
		return result, brrequest.OutcomeShed
	}
	if refused, ok := errors.Into[ErrRefused](err); ok {
		result = attemptResult{fate: brrequest.FateNotRun, reason: refused.Reason(), retryAfter: refused.RetryAfter()}
		return result, brrequest.OutcomeShed
	}
	if brbackend.IsErrNotSent(err) {
		result = attemptResult{fate: brrequest.FateNotRun, reason: brrequest.ReasonServerFailed, retryAfter: time.Second}
		kind = brrequest.OutcomeNotSent
	}
	if ctx.Err() == nil {
		return result, kind
	}
	result.reason = contextReason(ctx)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && !j.deadlineBeforeTimeout(d.clock.Now()) {
		return result, brrequest.OutcomeFault
	}
	return result, brrequest.OutcomeCancelled
}

// contextReason maps the error of an ended context to a reason.
func contextReason(ctx context.Context) brrequest.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return brrequest.ReasonDeadline
	}
	return brrequest.ReasonCallerGone
}
