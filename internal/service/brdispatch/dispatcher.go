// Package brdispatch carries one request from its caller to a backend server
// and the answer back, on the goroutine that the caller's front end gave it.
//
// Each request ends with one fate. It is sent again only where the decisions
// allow it; where the own failure domain has no server for it, an entry VM of
// another one gets it, once.
//
// The front end is known by two interfaces only, so that another one can use
// the same code: it gives a Request for the decisions, a Call to pass on, and a
// Writer for the answer.
//
// # Usage
//
//	dispatcher := brdispatch.New("vm-1", clock, admission, revoking, balancing, retrying, forwarding, poisoning, claiming, backend, entry, timeline)
//	result := dispatcher.Dispatch(ctx, request, call, writer)
//	if !result.Started() {
//		// write a refusal with result.Reason() and result.Fate()
//	}
package brdispatch

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/decide/brpoison"
	"bergamotroad.example/bergamotroad/internal/duty/brrevoking"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brbackend"
)

// Admission decides whether a request may run.
type Admission interface {
	// Admit returns the verdict on a request.
	Admit(ctx context.Context, request brrequest.Request) (brrequest.Verdict, error)
}

// Guard ends requests whose key is withdrawn while they run.
type Guard interface {
	// Guard returns a context that is cancelled once the key is no longer
	// honoured, and a function that ends the guard.
	Guard(ctx context.Context, key brrequest.KeyHash) (context.Context, context.CancelFunc, error)
}

// Balancing gives requests a backend server.
type Balancing interface {
	// Pick takes a slot of a server.
	Pick(ctx context.Context, placement brrequest.Placement) (brconfig.Server, error)
	// Release gives back the slot, with the outcome of the request.
	Release(outcome brrequest.Outcome)
}

// Retrying owns the budgets for retries.
type Retrying interface {
	// Earn credits a route for a request.
	Earn(route string)
	// Spend reports whether the budget of a route allows one more retry.
	Spend(ctx context.Context, route string) bool
}

// Forwarding chooses among the entry VMs of other failure domains.
type Forwarding interface {
	// Next returns the best VM for a service in none of the tried domains.
	Next(ctx context.Context, service string, tried []string) (brrequest.Target, bool)
	// Report tells how a request at a VM ended.
	Report(target brrequest.Target, kind brrequest.OutcomeKind)
}

// Poisoning knows the requests that kill servers.
type Poisoning interface {
	// Begin returns whether a request may run now.
	Begin(ctx context.Context, fingerprint brrequest.Fingerprint) brpoison.Verdict
	// Ran tells that a server ran a request to its end.
	Ran(fingerprint brrequest.Fingerprint)
	// Ended tells that a request ended in a way that says nothing of it.
	Ended(fingerprint brrequest.Fingerprint)
	// Killed tells that a server died while it ran a request.
	Killed(fingerprint brrequest.Fingerprint, server string)
}

// Backend sends requests to backend servers.
type Backend interface {
	brbackend.Backend
	// IsDead reports whether the server at an address, host:port, refuses new connections.
	IsDead(ctx context.Context, address string) bool
}

// Entry sends requests to other entry VMs.
type Entry interface {
	// Forward sends a request once. Beyond the errors of a Backend it returns
	// ErrRefused if the other VM refused it.
	Forward(ctx context.Context, target brrequest.Target, request brrequest.Request, verdict brrequest.Verdict, call brmessage.Call) (*brmessage.Answer, error)
}

// Writer takes an answer.
type Writer interface {
	// WriteHead starts the answer. It is called once.
	WriteHead(status int, fields brmessage.Fields) error
	// Write sends a part of the body and waits until the caller takes it.
	Write(part []byte) (int, error)
	// WriteTrailers ends a whole answer.
	WriteTrailers(fields brmessage.Fields) error
}

// Dispatcher carries requests.
type Dispatcher struct {
	vm         string
	clock      brclock.Clock
	admission  Admission
	guard      Guard
	balancing  Balancing
	retrying   Retrying
	forwarding Forwarding
	poisoning  Poisoning
	claiming   Claiming
	backend    Backend
	entry      Entry
	events     brevent.Recorder
}

// New returns the dispatcher of a VM.
func New(vm string, clock brclock.Clock, admission Admission, guard Guard, balancing Balancing, retrying Retrying, forwarding Forwarding, poisoning Poisoning, claiming Claiming, backend Backend, entry Entry, events brevent.Recorder) *Dispatcher {
	return &Dispatcher{
		vm:         vm,
		clock:      clock,
		admission:  admission,
		guard:      guard,
		balancing:  balancing,
		retrying:   retrying,
		forwarding: forwarding,
		poisoning:  poisoning,
		claiming:   claiming,
		backend:    backend,
		entry:      entry,
		events:     events,
	}
}

// Dispatch carries a caller's request. It writes nothing where the request was
// refused or failed before an answer began.
func (d *Dispatcher) Dispatch(ctx context.Context, request brrequest.Request, call brmessage.Call, writer Writer) Result {
	verdict, err := d.admission.Admit(ctx, request)
	if err != nil {
		verdict = brrequest.Refuse(brrequest.ReasonOverloaded, "", 0)
	}
	j := &job{request: request, verdict: verdict, call: call, writer: writer}
	guarded, end, err := d.guard.Guard(ctx, request.KeyHash())
	if err != nil {
		return d.finish(j, refusal(brrequest.ReasonOverloaded, time.Second))
	}
	defer end()
	return withdrawnIf(guarded, d.carry(guarded, j))
}

// withdrawnIf names the withdrawn key as the reason for a request's early end.
func withdrawnIf(ctx context.Context, result Result) Result {
	if !result.Whole() && brrevoking.IsErrWithdrawn(context.Cause(ctx)) {
		result.reason = brrequest.ReasonKeyWithdrawn
	}
	return result
}

// Receive carries a request that another entry VM has admitted. It is placed
// in this failure domain or nowhere.
func (d *Dispatcher) Receive(ctx context.Context, request brrequest.Request, verdict brrequest.Verdict, call brmessage.Call, writer Writer) Result {
	return d.carry(ctx, &job{request: request, verdict: verdict, call: call, writer: writer, crossed: true})
}

func (d *Dispatcher) carry(ctx context.Context, j *job) Result {
	if !j.verdict.Admitted() {
		return d.finish(j, refusal(j.verdict.Reason(), j.verdict.RetryAfter()))
	}
	if j.call.Size() > j.route().MaxBody() {
		return d.finish(j, refusal(brrequest.ReasonBodyTooLarge, 0))
	}
	d.record(brevent.KindRequestAdmitted, j)
	if j.keyed() {
		return d.finish(j, d.carryClaimed(ctx, j))
	}
	return d.finish(j, d.run(ctx, j))
}

// run sends the request within its time.
func (d *Dispatcher) run(ctx context.Context, j *job) ending {
	ctx, cancel := context.WithTimeout(ctx, j.patience(d.clock.Now()))
	defer cancel()
	if err := j.prepare(ctx); err != nil {
		return refusal(brrequest.ReasonCallerGone, 0)
	}
	d.retrying.Earn(j.route().Name())
	return d.attemptAll(ctx, j)
}
