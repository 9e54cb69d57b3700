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

// firstFaultStatus is the lowest HTTP status that counts as a server error.
const firstFaultStatus = 500

// ending is the result of an attempt.
type ending struct {
	fate       brrequest.Fate
	reason     brrequest.Reason
	retryAfter time.Duration
	started    bool
	whole      bool
	final      bool
	status     int
}

// refusal returns the result of a request that did not run and is not retried.
func refusal(reason brrequest.Reason, retryAfter time.Duration) ending {
	return ending{fate: brrequest.FateNotRun, reason: reason, retryAfter: retryAfter, final: true}
}

// attemptAll retries until an attempt succeeds or no retry is allowed. A request
// for which no server was available then waits once in the queue.
func (d *Dispatcher) attemptAll(ctx context.Context, j *job) ending {
	for {
		end := d.attempt(ctx, j)
		j.attempts++
		j.fate = brretry.Combine(j.fate, end.fate)
		if d.mayTryAgain(ctx, j, end) {
			continue
		}
		if mayWait(ctx, j, end) {
			end = d.attemptInTurn(ctx, j)
			j.fate = brretry.Combine(j.fate, end.fate)
		}
		end.fate = j.fate
		return end
	}
}

func (d *Dispatcher) mayTryAgain(ctx context.Context, j *job, end ending) bool {
	return !end.final &&
		!end.started &&
		ctx.Err() == nil &&
		j.attempts < brretry.MaxAttempts &&
		brretry.Allowed(j.route().Repeat(), end.fate) &&
		j.body.rewind() &&
		d.retrying.Spend(ctx, j.route().Name())
}

func (d *Dispatcher) attempt(ctx context.Context, j *job) ending {
	server, err := d.balancing.Pick(ctx, j.placement)
	if err != nil {
		return d.attemptElsewhere(ctx, j)
	}
	return d.attemptAt(ctx, j, server)
}

// attemptAt sends the request to a server of this failure domain, unless it
// is a known or suspected poison request.
func (d *Dispatcher) attemptAt(ctx context.Context, j *job, server brconfig.Server) ending {
	switch d.poisoning.Begin(ctx, j.fingerprint) {
	case brpoison.Refused:
		d.balancing.Release(brrequest.NewOutcome(server.Name(), brrequest.OutcomeCancelled, 0))
		return refusal(brrequest.ReasonPoison, 0)
	case brpoison.Waits:
		d.balancing.Release(brrequest.NewOutcome(server.Name(), brrequest.OutcomeCancelled, 0))
		return refusal(brrequest.ReasonPoisonSuspect, time.Second)
	default:
		return d.attemptHere(ctx, j, server)
	}
}

// attemptHere sends the request and reports the outcome to load balancing and to
// poison detection.
func (d *Dispatcher) attemptHere(ctx context.Context, j *job, server brconfig.Server) ending {
	j.placement = j.placement.Avoiding(server.Name())
	d.events.Record(j.event(brevent.KindRequestSent).WithResource(server.Name()))
	sent := d.clock.Now()
	answer, err := d.backend.Send(ctx, server, j.attempt(ctx, sent))
	latency := d.clock.Now().Sub(sent)
	end, kind := d.outcome(ctx, j, answer, err)
	d.balancing.Release(brrequest.NewOutcome(server.Name(), kind, latency).WithRoute(j.route().Name()))
	d.tellPoisoning(ctx, j, server, end, kind)
	return end
}

// outcome relays the answer or, where there is none, classifies the error.
func (d *Dispatcher) outcome(ctx context.Context, j *job, answer *brmessage.Answer, err error) (ending, brrequest.OutcomeKind) {
	if err != nil {
		return d.failed(ctx, j, err)
	}
	return d.pass(ctx, j, answer)
}

// pass relays an answer to the caller and classifies how that ended.
func (*Dispatcher) pass(ctx context.Context, j *job, answer *brmessage.Answer) (ending, brrequest.OutcomeKind) {
	defer func() { _ = answer.Close() }()
	end := ending{fate: brrequest.FateRan, started: true, status: answer.Status()}
	err := relay(answer, j.writer)
	end.whole = err == nil
	switch {
	case err != nil && ctx.Err() != nil:
		end.reason = reasonOf(ctx)
		return end, brrequest.OutcomeCancelled
	case isErrCut(err):
		end.reason = brrequest.ReasonServerFailed
		return end, brrequest.OutcomeBroken
	case err != nil:
		end.reason = brrequest.ReasonCallerGone
		return end, brrequest.OutcomeCancelled
	case answer.Status() >= firstFaultStatus:
		return end, brrequest.OutcomeFault
	default:
		return end, brrequest.OutcomeAnswered
	}
}

// failed classifies the error of an attempt without an answer: the result for the
// caller and the outcome that is reported for the server.
func (d *Dispatcher) failed(ctx context.Context, j *job, err error) (ending, brrequest.OutcomeKind) {
	end := ending{fate: brrequest.FateUnknown, reason: brrequest.ReasonServerFailed}
	kind := brrequest.OutcomeBroken
	if shed, ok := errors.Into[brbackend.ErrShed](err); ok {
		end = ending{fate: brrequest.FateNotRun, reason: brrequest.ReasonOverloaded, retryAfter: max(shed.RetryAfter(), time.Second)}
		return end, brrequest.OutcomeShed
	}
	if refused, ok := errors.Into[ErrRefused](err); ok {
		end = ending{fate: brrequest.FateNotRun, reason: refused.Reason(), retryAfter: refused.RetryAfter()}
		return end, brrequest.OutcomeShed
	}
	if brbackend.IsErrNotSent(err) {
		end = ending{fate: brrequest.FateNotRun, reason: brrequest.ReasonServerFailed, retryAfter: time.Second}
		kind = brrequest.OutcomeNotSent
	}
	if ctx.Err() == nil {
		return end, kind
	}
	end.reason = reasonOf(ctx)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && !j.hurried(d.clock.Now()) {
		return end, brrequest.OutcomeFault
	}
	return end, brrequest.OutcomeCancelled
}

// reasonOf maps the error of an ended context to a reason.
func reasonOf(ctx context.Context) brrequest.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return brrequest.ReasonDeadline
	}
	return brrequest.ReasonCallerGone
}
