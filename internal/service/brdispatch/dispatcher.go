// Package brdispatch proxies a caller's request to a backend server and relays
// the response, on the goroutine in which the front end handles the request.
//
// Each request ends with exactly one fate: it ran, it did not run, or the outcome
// is unknown. It is retried only where the route's repeat policy, the number of
// attempts and the retry budget allow it. If no server of this failure domain is
// available, the request is forwarded to an entry VM of another failure domain,
// at most once per domain.
//
// A request with an Idempotency-Key is claimed in the platform's table before it
// runs, so that it runs at most once while its key is retained.
//
// The package does not depend on the protocol of the front end. A front end
// supplies a Request to decide on, a Call to send, and a Writer that receives the
// response.
//
// # Usage
//
//	dispatcher := brdispatch.New("vm-1", clock, admission, keyGuard, balancer, retryBudgets, targetSelector, poisonDetector, claimer, backend, forwarder, events)
//	result := dispatcher.Dispatch(ctx, request, call, writer)
//	if !result.Started() {
//		// respond with an error that carries result.Reason() and result.Fate()
//	}
package brdispatch

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/decide/brpoison"
	"bergamotroad.example/bergamotroad/internal/duty/brrevocation"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brbackend"
)

// Admission decides whether a request may run.
type Admission interface {
	// Admit returns whether the request is admitted and, if not, why.
	Admit(ctx context.Context, request brrequest.Request) (brrequest.Decision, error)
}

// KeyGuard cancels running requests whose API key is revoked.
type KeyGuard interface {
	// Guard returns a context that is cancelled when the key is no longer
	// valid, and a function that releases the context's resources.
	Guard(ctx context.Context, key brrequest.KeyHash) (context.Context, context.CancelFunc, error)
}

// Balancer selects a backend server for each attempt.
type Balancer interface {
	// Pick reserves a slot on a server.
	Pick(ctx context.Context, placement brrequest.Placement) (brconfig.Server, error)
	// Release frees the slot and reports the outcome of the attempt.
	Release(outcome brrequest.Outcome)
}

// RetryBudgets manages the retry budgets of routes.
type RetryBudgets interface {
	// Earn adds the credit for one request to the budget of a route.
	Earn(route string)
	// Spend charges a retry to the budget of a route and reports whether the
	// budget allowed it.
	Spend(ctx context.Context, route string) bool
}

// TargetSelector selects entry VMs of other failure domains.
type TargetSelector interface {
	// Next returns the best VM for a service outside the domains already tried.
	Next(ctx context.Context, service string, tried []string) (brrequest.Target, bool)
	// Report records the outcome of a request that was forwarded to a VM.
	Report(target brrequest.Target, kind brrequest.OutcomeKind)
}

// PoisonDetector detects poison requests: those that crash the server that runs them.
type PoisonDetector interface {
	// Begin returns whether a request may run, has to be retried later or is
	// refused.
	Begin(ctx context.Context, fingerprint brrequest.Fingerprint) brpoison.Verdict
	// ReportCompletion records that a server completed a request.
	ReportCompletion(fingerprint brrequest.Fingerprint)
	// ReportInconclusive records that an attempt ended without evidence for
	// or against the request.
	ReportInconclusive(fingerprint brrequest.Fingerprint)
	// ReportCrash records that a server crashed while it ran a request.
	ReportCrash(fingerprint brrequest.Fingerprint, server string)
}

// Backend sends requests to backend servers.
type Backend interface {
	brbackend.Backend
	// IsDead reports whether the server at an address, host:port, refuses new connections.
	IsDead(ctx context.Context, address string) bool
}

// Forwarder sends requests to other entry VMs.
type Forwarder interface {
	// Forward sends a request once. In addition to the errors of a Backend, it
	// returns ErrRefused if the other VM refused the request.
	Forward(ctx context.Context, target brrequest.Target, request brrequest.Request, decision brrequest.Decision, call brmessage.Call) (*brmessage.Response, error)
}

// Writer receives the response for the caller.
type Writer interface {
	// WriteHead writes status and header fields. It is called at most once.
	WriteHead(status int, fields brmessage.Fields) error
	// Write writes a part of the body and blocks until it is accepted.
	Write(part []byte) (int, error)
	// WriteTrailers ends a complete response.
	WriteTrailers(fields brmessage.Fields) error
}

// Dispatcher sends requests to backend servers and entry VMs.
type Dispatcher struct {
	vm             string
	clock          brclock.Clock
	admission      Admission
	keyGuard       KeyGuard
	balancer       Balancer
	retryBudgets   RetryBudgets
	targetSelector TargetSelector
	poisonDetector PoisonDetector
	claimer        Claimer
	backend        Backend
	forwarder      Forwarder
	events         brevent.Recorder
}

// New returns the dispatcher of the named VM.
func New(vm string, clock brclock.Clock, admission Admission, keyGuard KeyGuard, balancer Balancer, retryBudgets RetryBudgets, targetSelector TargetSelector, poisonDetector PoisonDetector, claimer Claimer, backend Backend, forwarder Forwarder, events brevent.Recorder) *Dispatcher {
	return &Dispatcher{
		vm:             vm,
		clock:          clock,
		admission:      admission,
		keyGuard:       keyGuard,
		balancer:       balancer,
		retryBudgets:   retryBudgets,
		targetSelector: targetSelector,
		poisonDetector: poisonDetector,
		claimer:        claimer,
		backend:        backend,
		forwarder:      forwarder,
		events:         events,
	}
}

// Dispatch handles a request that arrived from a caller. Nothing is written to
// writer if the request is refused or fails before a response has started.
func (d *Dispatcher) Dispatch(ctx context.Context, request brrequest.Request, call brmessage.Call, writer Writer) Result {
	decision, err := d.admission.Admit(ctx, request)
	if err != nil {
		decision = brrequest.Refuse(brrequest.ReasonOverloaded, "", 0)
	}
	j := &job{request: request, decision: decision, call: call, writer: writer}
	guarded, stop, err := d.keyGuard.Guard(ctx, request.KeyHash())
	if err != nil {
		return d.finish(j, refusal(brrequest.ReasonOverloaded, time.Second))
	}
	defer stop()
	return withRevocationReason(guarded, d.handle(guarded, j))
}

// withRevocationReason sets the reason of an incomplete request to the revocation
// of its key if that is what cancelled ctx.
func withRevocationReason(ctx context.Context, result Result) Result {
	if !result.IsComplete() && brrevocation.IsErrRevoked(context.Cause(ctx)) {
		result.reason = brrequest.ReasonKeyRevoked
	}
	return result
}

// Receive handles a request that another entry VM has admitted and forwarded.
// It is not forwarded again.
func (d *Dispatcher) Receive(ctx context.Context, request brrequest.Request, decision brrequest.Decision, call brmessage.Call, writer Writer) Result {
	return d.handle(ctx, &job{request: request, decision: decision, call: call, writer: writer, forwarded: true})
}

func (d *Dispatcher) handle(ctx context.Context, j *job) Result {
	if !j.decision.Admitted() {
		return d.finish(j, refusal(j.decision.Reason(), j.decision.RetryAfter()))
	}
	if j.call.Size() > j.route().MaxBody() {
		return d.finish(j, refusal(brrequest.ReasonBodyTooLarge, 0))
	}
	d.record(brevent.KindRequestAdmitted, j)
	if j.needsClaim() {
		return d.finish(j, d.handleClaimed(ctx, j))
	}
	return d.finish(j, d.run(ctx, j))
}

// run sends the request, bounded by its timeout.
func (d *Dispatcher) run(ctx context.Context, j *job) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, j.timeout(d.clock.Now()))
	defer cancel()
	if err := j.prepare(ctx); err != nil {
		return refusal(brrequest.ReasonCallerGone, 0)
	}
	d.retryBudgets.Earn(j.route().Name())
	return d.attemptUntilDone(ctx, j)
}
