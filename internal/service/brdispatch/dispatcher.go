// Package brdispatch carries one request from its caller to a backend server
// and the answer back, on the goroutine that the caller's front end gave it.
//
// The front end is known by two interfaces only, so that another one can use
// the same code: it gives a Request for the decisions, a Call to pass on, and a
// Writer for the answer.
//
// # Usage
//
//	dispatcher := brdispatch.New(clock, admission, balancing, backend, timeline)
//	result := dispatcher.Dispatch(ctx, request, call, writer)
//	if !result.Started() {
//		// write a refusal with result.Reason() and result.Fate()
//	}
package brdispatch

import (
	"context"
	"strconv"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brbackend"
)

// firstFaultStatus is the least status by which a server reports a fault of its own.
const firstFaultStatus = 500

// Admission decides whether a request may run.
type Admission interface {
	// Admit returns the verdict on a request.
	Admit(ctx context.Context, request brrequest.Request) (brrequest.Verdict, error)
}

// Balancing gives requests a backend server.
type Balancing interface {
	// Pick takes a slot of a server.
	Pick(ctx context.Context, placement brrequest.Placement) (brconfig.Server, error)
	// Release gives back the slot, with the outcome of the request.
	Release(outcome brrequest.Outcome)
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
	clock     brclock.Clock
	admission Admission
	balancing Balancing
	backend   brbackend.Backend
	events    brevent.Recorder
}

// New returns a dispatcher.
func New(clock brclock.Clock, admission Admission, balancing Balancing, backend brbackend.Backend, events brevent.Recorder) *Dispatcher {
	return &Dispatcher{clock: clock, admission: admission, balancing: balancing, backend: backend, events: events}
}

// Result says what became of a request.
type Result struct {
	fate         brrequest.Fate
	reason       brrequest.Reason
	retryAfter   time.Duration
	organisation string
	started      bool
	whole        bool
}

// Fate returns whether the request ran.
func (r Result) Fate() brrequest.Fate { return r.fate }

// Reason returns why the request was refused or failed, or none as "".
func (r Result) Reason() brrequest.Reason { return r.reason }

// RetryAfter returns the time after which another try makes sense, or 0.
func (r Result) RetryAfter() time.Duration { return r.retryAfter }

// Organisation returns the organisation whose key came with the request.
func (r Result) Organisation() string { return r.organisation }

// Started reports whether the head of an answer was written.
func (r Result) Started() bool { return r.started }

// Whole reports whether the whole answer was written.
func (r Result) Whole() bool { return r.whole }

// Dispatch carries a request. It writes nothing where the request was refused
// or failed before an answer began.
func (d *Dispatcher) Dispatch(ctx context.Context, request brrequest.Request, call brmessage.Call, writer Writer) Result {
	verdict, err := d.admission.Admit(ctx, request)
	if err != nil {
		return d.refused(request, brrequest.Refuse(brrequest.ReasonOverloaded, "", 0))
	}
	if !verdict.Admitted() {
		return d.refused(request, verdict)
	}
	d.record(brevent.KindRequestAdmitted, request, verdict)
	ctx, cancel := context.WithTimeout(ctx, d.patience(request, verdict))
	defer cancel()
	server, err := d.balancing.Pick(ctx, placementOf(ctx, verdict))
	if err != nil {
		return d.refused(request, brrequest.Refuse(brrequest.ReasonNoServer, verdict.Organisation(), time.Second))
	}
	return d.exchange(ctx, request, verdict, server, call, writer)
}

func (d *Dispatcher) exchange(ctx context.Context, request brrequest.Request, verdict brrequest.Verdict, server brconfig.Server, call brmessage.Call, writer Writer) Result {
	d.events.Record(brevent.New(brevent.KindRequestSent).
		WithRequest(request.ID()).
		WithOrganisation(verdict.Organisation()).
		WithResource(server.Name()))
	sent := d.clock.Now()
	answer, err := d.backend.Send(ctx, server, call)
	latency := d.clock.Now().Sub(sent)
	if brbackend.IsErrNotSent(err) {
		d.balancing.Release(brrequest.NewOutcome(server.Name(), brrequest.OutcomeNotSent, latency))
		return d.refused(request, brrequest.Refuse(brrequest.ReasonServerFailed, verdict.Organisation(), time.Second))
	}
	if err != nil {
		d.balancing.Release(brrequest.NewOutcome(server.Name(), brrequest.OutcomeBroken, latency))
		return Result{fate: brrequest.FateUnknown, reason: brrequest.ReasonServerFailed, organisation: verdict.Organisation()}
	}
	defer func() { _ = answer.Close() }()
	result := Result{fate: brrequest.FateRan, organisation: verdict.Organisation(), started: true}
	result.whole = relay(answer, writer) == nil
	d.balancing.Release(brrequest.NewOutcome(server.Name(), outcomeOf(answer.Status(), result.whole), latency))
	d.events.Record(brevent.New(brevent.KindRequestAnswered).
		WithRequest(request.ID()).
		WithOrganisation(verdict.Organisation()).
		WithResource(server.Name()).
		WithDetail("status", strconv.Itoa(answer.Status())).
		WithDetail("whole", strconv.FormatBool(result.whole)))
	return result
}

func placementOf(ctx context.Context, verdict brrequest.Verdict) brrequest.Placement {
	placement := brrequest.NewPlacement(verdict.Route().Service(), verdict.Organisation()).WithWeight(verdict.Weight())
	if deadline, ok := ctx.Deadline(); ok {
		placement = placement.WithDeadline(deadline)
	}
	return placement
}

func outcomeOf(status int, whole bool) brrequest.OutcomeKind {
	switch {
	case !whole:
		return brrequest.OutcomeBroken
	case status >= firstFaultStatus:
		return brrequest.OutcomeFault
	default:
		return brrequest.OutcomeAnswered
	}
}

func (d *Dispatcher) patience(request brrequest.Request, verdict brrequest.Verdict) time.Duration {
	patience := verdict.Route().Timeout()
	if deadline := request.Deadline(); !deadline.IsZero() {
		patience = min(patience, deadline.Sub(d.clock.Now()))
	}
	return patience
}

func (d *Dispatcher) refused(request brrequest.Request, verdict brrequest.Verdict) Result {
	d.record(brevent.KindRequestRefused, request, verdict)
	return Result{
		fate:         brrequest.FateNotRun,
		reason:       verdict.Reason(),
		retryAfter:   verdict.RetryAfter(),
		organisation: verdict.Organisation(),
	}
}

func (d *Dispatcher) record(kind brevent.Kind, request brrequest.Request, verdict brrequest.Verdict) {
	event := brevent.New(kind).WithRequest(request.ID()).WithOrganisation(verdict.Organisation())
	if verdict.Reason() != brrequest.ReasonNone {
		event = event.WithDetail("reason", string(verdict.Reason()))
	}
	d.events.Record(event)
}
