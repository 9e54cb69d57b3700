package brdispatch

import (
	"strconv"

	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// finish records the fate of the request as an event and returns the result.
func (d *Dispatcher) finish(j *job, result attemptResult) Result {
	event := j.event(eventKind(result.fate)).
		WithDetail("fate", string(result.fate)).
		WithDetail("attempts", strconv.Itoa(j.attempts))
	if result.reason != brrequest.ReasonNone {
		event = event.WithDetail("reason", string(result.reason))
	}
	if result.started {
		event = event.
			WithDetail("status", strconv.Itoa(result.status)).
			WithDetail("whole", strconv.FormatBool(result.complete))
	}
	d.events.Record(event)
	return Result{
		fate:         result.fate,
		reason:       result.reason,
		retryAfter:   result.retryAfter,
		organisation: j.decision.Organisation(),
		started:      result.started,
		complete:     result.complete,
	}
}

func eventKind(fate brrequest.Fate) brevent.Kind {
	switch fate {
	case brrequest.FateRan:
		return brevent.KindRequestAnswered
	case brrequest.FateNotRun:
		return brevent.KindRequestRefused
	default:
		return brevent.KindRequestOutcomeUnknown
	}
}

func (d *Dispatcher) record(kind brevent.Kind, j *job) {
	d.events.Record(j.event(kind))
}

// event returns an event of the kind with the identity of the request.
func (j *job) event(kind brevent.Kind) brevent.Event {
	return brevent.New(kind).WithRequest(j.request.ID()).WithOrganisation(j.decision.Organisation())
}
