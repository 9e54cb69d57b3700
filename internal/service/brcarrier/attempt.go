package brcarrier

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/decide/brplace"
	"bergamotroad.example/bergamotroad/internal/duty/brplacing"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brbackend"
)

const (
	// patienceShare divides a route's latency objective to get the longest time
	// that a request waits for a server: after a longer wait, it could hardly
	// meet the objective.
	patienceShare = 8
	// defaultObjective is the latency objective of routes that set none.
	defaultObjective = time.Second
	// maxTries bounds how often a request is sent, including the times that
	// it did not run.
	maxTries = 4
	// startRetryAfter is the Retry-After time while the VM has no configuration;
	// reading it takes about this long.
	startRetryAfter = 500 * time.Millisecond
	// crowdRetryAfter is the minimum Retry-After time while all servers are
	// overloaded; up to the same time is added, to spread the callers.
	crowdRetryAfter = 300 * time.Millisecond
	// absentRetryAfter is the Retry-After time while no server is eligible for
	// a request.
	absentRetryAfter = time.Second
	// maxKeptAnswer is the largest response that is buffered before it is sent
	// to the caller, so that the request can be retried if the response is truncated.
	maxKeptAnswer = 256 << 10 // bytes
	// probeTime bounds the probe of a server whose connection broke. It allows
	// for a round trip between regions.
	probeTime = 100 * time.Millisecond
	// slowFactor is the multiple of the latency objective beyond which a response
	// counts as bad for the server's version.
	slowFactor = 4
	// firstFaultStatus is the lowest HTTP status that is a server error.
	firstFaultStatus = 500
)

// run chooses a server, sends the request and retries it where that is allowed.
func (c *Carrier) run(ctx context.Context, j *job) Result {
	answer, err := c.placing.Place(ctx, j.ask, j.patience())
	if err != nil {
		return gaveUp(ctx, refused(brrequest.ReasonOverloaded, j.crowdRetryAfter()))
	}
	if !answer.Placed() {
		return unplaced(j, answer)
	}
	for {
		end := c.send(ctx, j, answer.Choice())
		if end.final || !c.mayTryAgain(ctx, j, end) {
			return conclude(j, end)
		}
		again, err := c.placing.Retry(ctx, j.ask)
		if err != nil || !again.Placed() {
			return conclude(j, end)
		}
		c.journal.Failure(j.request.ID(), "tried again", "server", j.choice.Server().ID(), "cause", end.cause(), "next", again.Choice().Server().ID())
		answer = again
	}
}

func (j *job) patience() time.Duration {
	objective := j.route.Objective()
	if objective <= 0 {
		objective = defaultObjective
	}
	return objective / patienceShare
}

// crowdRetryAfter returns a Retry-After time that depends on the request ID, so
// that callers that are refused together don't return together.
func (j *job) crowdRetryAfter() time.Duration {
	spread := time.Duration(xxhash.Sum64String(j.request.ID()) % uint64(crowdRetryAfter))
	return crowdRetryAfter + spread
}

func unplaced(j *job, answer brplacing.Answer) Result {
	if !answer.Possible() {
		return refused(brrequest.ReasonNoServer, absentRetryAfter)
	}
	return refused(brrequest.ReasonOverloaded, j.crowdRetryAfter())
}

// ending is the result of one attempt.
type ending struct {
	result Result
	final  bool
	held   *heldAnswer
	err    error
}

// heldAnswer is a complete response that has not been sent to the caller yet.
type heldAnswer struct {
	status int
	fields brmessage.Fields
	body   []byte
}

func (e ending) cause() string {
	if e.err != nil {
		return e.err.Error()
	}
	return "server returned a 5xx status"
}

// conclude writes the buffered response of the last attempt, if there is one, and
// returns the request's result.
func conclude(j *job, end ending) Result {
	if end.held == nil {
		if j.runs > 0 && end.result.fate == brrequest.FateNotRun {
			end.result.fate = brrequest.FateUnknown
			end.result.reason = brrequest.ReasonServerFailed
		}
		return end.result
	}
	j.writer.WriteHead(end.held.status, end.held.fields, int64(len(end.held.body)))
	_, err := j.writer.Write(end.held.body)
	end.result.started = true
	end.result.whole = err == nil
	return end.result
}

func (c *Carrier) mayTryAgain(ctx context.Context, j *job, end ending) bool {
	if ctx.Err() != nil || j.tries >= maxTries || j.streams {
		return false
	}
	if _, poisoned := c.poisoned(j); poisoned {
		return false
	}
	if end.result.fate == brrequest.FateNotRun {
		return true
	}
	return j.route.Idempotent() && j.runs < j.route.Attempts()
}

// send makes one attempt at the chosen server and records its outcome.
func (c *Carrier) send(ctx context.Context, j *job, choice brplace.Choice) ending {
	server := choice.Server()
	j.choice = choice
	j.tries++
	j.ask = j.ask.Avoiding(server.ID())
	sent := c.clock.Now()
	answer, load, err := c.upstream.Send(ctx, server, j.request, j.organisation.Name(), j.giveUp.Sub(sent), j.attempt())
	end, kind := outcome(ctx, j, answer, err)
	took := c.clock.Now().Sub(sent)
	if end.result.fate != brrequest.FateNotRun {
		j.runs++
	}
	c.settle(ctx, j, server, kind, took, load)
	c.measures.attempt(kind, took)
	return end
}

func (c *Carrier) settle(ctx context.Context, j *job, server brfleet.Server, kind brrequest.OutcomeKind, took time.Duration, load broption.Option[brfleet.Load]) {
	verdict := brplacing.Verdict{}
	slow := j.route.Objective() > 0 && took > slowFactor*j.route.Objective()
	switch kind {
	case brrequest.OutcomeAnswered:
		verdict = brplacing.NewVerdict(j.service, server.Version(), slow)
	case brrequest.OutcomeFault, brrequest.OutcomeBroken:
		verdict = brplacing.NewVerdict(j.service, server.Version(), true)
	case brrequest.OutcomeCancelled:
		if slow {
			verdict = brplacing.NewVerdict(j.service, server.Version(), true)
		}
	default:
	}
	latency := took
	if kind != brrequest.OutcomeAnswered {
		latency = 0
	}
	outcome := brplace.NewOutcome(server.ID(), kind, latency).
		WithLoad(load).
		WithRequest(j.fingerprint).
		WithDead(kind == brrequest.OutcomeBroken && c.isDead(ctx, server))
	c.placing.Settle(outcome, verdict)
	if kind == brrequest.OutcomeAnswered || kind == brrequest.OutcomeFault {
		c.poisoning.Ran(j.fingerprint)
	}
}

// isDead reports whether a server whose connection broke has died. The request
// must not be retried at another server before this is known.
func (c *Carrier) isDead(ctx context.Context, server brfleet.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	return c.upstream.IsDead(ctx, server)
}

// outcome reads the response, or classifies the error of an attempt without one.
func outcome(ctx context.Context, j *job, answer *brmessage.Answer, err error) (ending, brrequest.OutcomeKind) {
	if err == nil {
		return read(ctx, j, answer)
	}
	switch {
	case brbackend.IsErrShed(err):
		return ending{result: refused(brrequest.ReasonOverloaded, j.crowdRetryAfter()), err: err}, brrequest.OutcomeShed
	case brbackend.IsErrNotSent(err) && ctx.Err() != nil:
		return ending{result: gaveUp(ctx, refused(brrequest.ReasonServerFailed, 0)), err: err}, brrequest.OutcomeCancelled
	case brbackend.IsErrNotSent(err):
		return ending{result: refused(brrequest.ReasonOverloaded, j.crowdRetryAfter()), err: err}, brrequest.OutcomeNotSent
	default:
		return broken(ctx, err)
	}
}

// broken returns the result of an attempt of which it is unknown whether it ran.
func broken(ctx context.Context, err error) (ending, brrequest.OutcomeKind) {
	result := gaveUp(ctx, Result{fate: brrequest.FateUnknown, reason: brrequest.ReasonServerFailed})
	if ctx.Err() != nil {
		return ending{result: result, err: err}, brrequest.OutcomeCancelled
	}
	return ending{result: result, err: err}, brrequest.OutcomeBroken
}

// read reads a response. A small one is buffered before anything is sent to the
// caller; a buffered 5xx response is not final, since a retry may succeed.
func read(ctx context.Context, j *job, answer *brmessage.Answer) (ending, brrequest.OutcomeKind) {
	defer func() { _ = answer.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body(), maxKeptAnswer+1))
	if err != nil {
		return broken(ctx, errors.Errorf("read response: %w", err))
	}
	result := Result{fate: brrequest.FateRan, status: answer.Status()}
	if len(body) > maxKeptAnswer {
		return stream(ctx, j, answer, body, result)
	}
	held := &heldAnswer{status: answer.Status(), fields: answer.Fields(), body: body}
	if answer.Status() >= firstFaultStatus {
		return ending{result: result, held: held}, brrequest.OutcomeFault
	}
	return ending{result: result, held: held, final: true}, brrequest.OutcomeAnswered
}

// stream sends a response that is too large to buffer to the caller as it arrives.
func stream(ctx context.Context, j *job, answer *brmessage.Answer, begun []byte, result Result) (ending, brrequest.OutcomeKind) {
	j.writer.WriteHead(answer.Status(), answer.Fields(), -1)
	result.started = true
	_, err := io.Copy(struct{ io.Writer }{j.writer}, io.MultiReader(bytes.NewReader(begun), answer.Body()))
	result.whole = err == nil
	if err != nil {
		result.reason = brrequest.ReasonServerFailed
		if ctx.Err() != nil {
			return ending{result: result, final: true, err: err}, brrequest.OutcomeCancelled
		}
		return ending{result: result, final: true, err: err}, brrequest.OutcomeBroken
	}
	return ending{result: result, final: true}, brrequest.OutcomeAnswered
}
