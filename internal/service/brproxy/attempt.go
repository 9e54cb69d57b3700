package brproxy

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/duty/brassignment"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brbackend"
)

const (
	// waitDivisor divides a route's latency objective to get the longest time
	// that a request waits for a server: after a longer wait, it could hardly
	// meet the objective.
	waitDivisor = 8
	// defaultObjective is the latency objective of routes that set none.
	defaultObjective = time.Second
	// maxTries bounds how often a request is sent, including the times that
	// it did not run.
	maxTries = 4
	// noConfigurationRetryAfter is the Retry-After time while the VM has no
	// configuration; reading it takes about this long.
	noConfigurationRetryAfter = 500 * time.Millisecond
	// minOverloadRetryAfter is the minimum Retry-After time while all servers are
	// overloaded; up to the same time is added, to spread the callers.
	minOverloadRetryAfter = 300 * time.Millisecond
	// noServerRetryAfter is the Retry-After time while no server is eligible for
	// a request.
	noServerRetryAfter = time.Second
	// probeTimeout bounds the probe of a server whose connection broke. It allows
	// for a round trip between regions.
	probeTimeout = 100 * time.Millisecond
	// slowFactor is the multiple of the latency objective beyond which a response
	// counts as bad for the server's version.
	slowFactor = 4
	// minServerErrorStatus is the lowest HTTP status that is a server error.
	minServerErrorStatus = 500
)

// run chooses a server, sends the request and retries it where that is allowed.
func (p *Proxy) run(ctx context.Context, j *job) Result {
	attempt := attemptResult{}
	assignment, err := p.servers.Place(ctx, j.query, j.maxWait(), func(choice brplacement.Choice) (outcome brplacement.Outcome, version brassignment.VersionResult) {
		attempt, outcome, version = p.send(ctx, j, choice)
		return outcome, version
	})
	if err != nil {
		return withContextReason(ctx, refused(brrequest.ReasonOverloaded, j.overloadRetryAfter()))
	}
	if !assignment.Assigned() {
		return refuseUnplaced(j, assignment)
	}
	for !attempt.final && p.canRetry(ctx, j, attempt) {
		failed := attempt
		next, err := p.servers.Retry(ctx, j.query, func(choice brplacement.Choice) (outcome brplacement.Outcome, version brassignment.VersionResult) {
			p.journal.Failure(j.request.ID(), "tried again", "server", j.choice.Server().ID(), "cause", failed.cause(), "next", choice.Server().ID())
			attempt, outcome, version = p.send(ctx, j, choice)
			return outcome, version
		})
		if err != nil || !next.Assigned() {
			return writeBuffered(j, failed.withRetryAfter(j, next))
		}
	}
	return writeBuffered(j, attempt)
}

func (j *job) maxWait() time.Duration {
	objective := j.route.TargetLatency()
	if objective <= 0 {
		objective = defaultObjective
	}
	return objective / waitDivisor
}

// overloadRetryAfter returns a Retry-After time that depends on the request ID, so
// that callers that are refused together don't return together.
func (j *job) overloadRetryAfter() time.Duration {
	spread := time.Duration(xxhash.Sum64String(j.request.ID()) % uint64(minOverloadRetryAfter))
	return minOverloadRetryAfter + spread
}

// refuseUnplaced refuses a request for which no server has room. If all servers want no
// requests for a time, the caller is told when that ends.
func refuseUnplaced(j *job, assignment brassignment.Assignment) Result {
	switch {
	case assignment.RetryAfter() > 0:
		return refused(brrequest.ReasonOverloaded, assignment.RetryAfter()+j.overloadRetryAfter())
	case !assignment.HasCandidates():
		return refused(brrequest.ReasonNoServer, noServerRetryAfter)
	default:
		return refused(brrequest.ReasonOverloaded, j.overloadRetryAfter())
	}
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	result   Result
	final    bool
	buffered *bufferedResponse
	err      error
}

// bufferedResponse is a complete response that has not been sent to the caller yet.
type bufferedResponse struct {
	status int
	fields brmessage.Fields
	body   []byte
}

// withRetryAfter returns the result with the time at which the caller may retry, if the
// request did not run and all other servers want no requests for a time.
func (a attemptResult) withRetryAfter(j *job, next brassignment.Assignment) attemptResult {
	if a.result.fate == brrequest.FateNotRun && next.RetryAfter() > 0 {
		a.result.retryAfter = next.RetryAfter() + j.overloadRetryAfter()
	}
	return a
}

func (a attemptResult) cause() string {
	if a.err != nil {
		return a.err.Error()
	}
	return "server returned a 5xx status"
}

// writeBuffered writes the buffered response of the last attempt, if there is one, and
// returns the request's result.
func writeBuffered(j *job, attempt attemptResult) Result {
	if attempt.buffered == nil {
		if j.runs > 0 && attempt.result.fate == brrequest.FateNotRun {
			attempt.result.fate = brrequest.FateUnknown
			attempt.result.reason = brrequest.ReasonServerFailed
		}
		return attempt.result
	}
	j.writer.WriteHead(attempt.buffered.status, attempt.buffered.fields, int64(len(attempt.buffered.body)))
	_, err := j.writer.Write(attempt.buffered.body)
	attempt.result.started = true
	attempt.result.complete = err == nil
	return attempt.result
}

func (p *Proxy) canRetry(ctx context.Context, j *job, attempt attemptResult) bool {
	if ctx.Err() != nil || j.tries >= maxTries || j.body.streamed {
		return false
	}
	if _, poisoned := p.refusedAsPoison(j); poisoned {
		return false
	}
	if attempt.result.fate == brrequest.FateNotRun {
		return true
	}
	return j.route.Idempotent() && j.runs < j.route.Attempts()
}

// send makes one attempt at the chosen server. It returns its result, its outcome at the
// server and how it counts for the server's version.
func (p *Proxy) send(ctx context.Context, j *job, choice brplacement.Choice) (attemptResult, brplacement.Outcome, brassignment.VersionResult) {
	defer p.metrics.startAttempt(j.service)()
	server := choice.Server()
	j.choice = choice
	j.tries++
	j.query = j.query.Excluding(server.ID())
	sent := p.clock.Now()
	count := p.startCount(j, sent)
	response, report, err := p.upstream.Send(ctx, server, j.request, j.organisation.Name(), j.deadline.Sub(sent), j.newCall())
	count(err)
	headTime := p.clock.Now().Sub(sent)
	attempt, kind := readOutcome(ctx, j, response, err)
	duration := p.clock.Now().Sub(sent)
	if attempt.result.fate != brrequest.FateNotRun {
		j.runs++
	}
	p.metrics.observeAttempt(kind, duration)
	outcome := p.outcome(ctx, j, server, kind, duration, report)
	if kind == brrequest.OutcomeAnswered || kind == brrequest.OutcomeFault {
		p.poison.ReportCompletion(j.fingerprint)
	}
	latency := duration
	if attempt.result.started {
		latency = headTime // the rest takes as long as the caller needs to read it
	}
	verdict := versionVerdict(j, attempt.result, kind, latency)
	return attempt, outcome, brassignment.NewVersionResult(j.service, server.Version(), verdict)
}

// outcome returns how an attempt ended at its server.
func (p *Proxy) outcome(ctx context.Context, j *job, server brfleet.Server, kind brrequest.OutcomeKind, duration time.Duration, report brfleet.ServerReport) brplacement.Outcome {
	latency := duration
	if kind != brrequest.OutcomeAnswered {
		latency = 0
	}
	return brplacement.NewOutcome(server, kind, latency).
		WithReport(report).
		WithRequest(j.fingerprint).
		WithTimedOut(kind == brrequest.OutcomeCancelled && duration > j.route.TargetLatency() && context.Cause(ctx) == context.DeadlineExceeded).
		WithServerDown(kind == brrequest.OutcomeBroken && p.isDead(ctx, server))
}

// versionVerdict judges an attempt in the same way for all versions, whether the route's
// timeout, the caller's deadline or the caller ended it. A server that has just started may
// take longer than a response should. The latency is the time to the whole response, or to
// its head if it was passed on while it arrived.
func versionVerdict(j *job, result Result, kind brrequest.OutcomeKind, latency time.Duration) brassignment.VersionVerdict {
	objective := j.route.TargetLatency()
	slow := objective > 0 && latency > slowFactor*objective
	switch {
	case kind == brrequest.OutcomeFault, kind == brrequest.OutcomeBroken:
		return brassignment.VersionBad
	case kind == brrequest.OutcomeAnswered && slow:
		return brassignment.VersionBad
	case kind == brrequest.OutcomeAnswered:
		return brassignment.VersionGood
	case kind != brrequest.OutcomeCancelled || result.started || result.fate == brrequest.FateNotRun:
		return brassignment.VersionUnjudged
	case slow:
		return brassignment.VersionBad
	case latency > j.overdueAfter() && !j.choice.IsCold():
		return brassignment.VersionOverdue
	default:
		return brassignment.VersionUnjudged
	}
}

// isDead reports whether a server whose connection broke has crashed. The request
// must not be retried at another server before this is known.
func (p *Proxy) isDead(ctx context.Context, server brfleet.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return p.upstream.IsDead(ctx, server)
}

// readOutcome reads the response, or classifies the error of an attempt without one.
func readOutcome(ctx context.Context, j *job, response *brmessage.Response, err error) (attemptResult, brrequest.OutcomeKind) {
	if err == nil {
		return readResponse(ctx, j, response)
	}
	switch {
	case brbackend.IsErrShed(err):
		return attemptResult{result: refused(brrequest.ReasonOverloaded, j.overloadRetryAfter()), err: err}, brrequest.OutcomeShed
	case brbackend.IsErrNotSent(err) && ctx.Err() != nil:
		return attemptResult{result: withContextReason(ctx, refused(brrequest.ReasonServerFailed, 0)), err: err}, brrequest.OutcomeCancelled
	case brbackend.IsErrNotSent(err) && j.caller.failed.Load():
		return attemptResult{result: refused(brrequest.ReasonCallerGone, 0), err: err}, brrequest.OutcomeCancelled
	case brbackend.IsErrNotSent(err):
		return attemptResult{result: refused(brrequest.ReasonOverloaded, j.overloadRetryAfter()), err: err}, brrequest.OutcomeNotSent
	default:
		return failUnknown(ctx, j, err)
	}
}

// failUnknown returns the result of an attempt that may or may not have run.
func failUnknown(ctx context.Context, j *job, err error) (attemptResult, brrequest.OutcomeKind) {
	result := withContextReason(ctx, Result{fate: brrequest.FateUnknown, reason: brrequest.ReasonServerFailed})
	if j.caller.failed.Load() && ctx.Err() == nil {
		result.reason = brrequest.ReasonCallerGone
	}
	if ctx.Err() != nil || j.caller.failed.Load() {
		return attemptResult{result: result, err: err}, brrequest.OutcomeCancelled
	}
	return attemptResult{result: result, err: err}, brrequest.OutcomeBroken
}

// readResponse reads a response. A small one is buffered before anything is sent to
// the caller; a buffered 5xx response is not final, since a retry may succeed.
func readResponse(ctx context.Context, j *job, response *brmessage.Response) (attemptResult, brrequest.OutcomeKind) {
	defer func() { _ = response.Close() }()
	body, whole, err := j.bufferResponse(ctx, response.Body())
	if err != nil {
		return failUnknown(ctx, j, err)
	}
	result := Result{fate: brrequest.FateRan, status: response.Status()}
	if !whole {
		return streamResponse(ctx, j, response, body, result)
	}
	buffered := &bufferedResponse{status: response.Status(), fields: response.Fields(), body: body}
	if response.Status() >= minServerErrorStatus {
		return attemptResult{result: result, buffered: buffered}, brrequest.OutcomeFault
	}
	return attemptResult{result: result, buffered: buffered, final: true}, brrequest.OutcomeAnswered
}

// streamResponse sends a response that is too large to buffer to the caller as it arrives.
func streamResponse(ctx context.Context, j *job, response *brmessage.Response, prefix []byte, result Result) (attemptResult, brrequest.OutcomeKind) {
	j.writer.WriteHead(response.Status(), response.Fields(), -1)
	result.started = true
	_, err := io.Copy(struct{ io.Writer }{j.writer}, io.MultiReader(bytes.NewReader(prefix), response.Body()))
	result.complete = err == nil
	if err != nil {
		result.reason = brrequest.ReasonServerFailed
		if ctx.Err() != nil || j.caller.failed.Load() {
			return attemptResult{result: result, final: true, err: err}, brrequest.OutcomeCancelled
		}
		return attemptResult{result: result, final: true, err: err}, brrequest.OutcomeBroken
	}
	return attemptResult{result: result, final: true}, brrequest.OutcomeAnswered
}
