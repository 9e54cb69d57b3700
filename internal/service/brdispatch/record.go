package brdispatch

import (
	"strconv"

	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// finish records the fate of the request as an event and returns the result.
func (d *Dispatcher) finish(j *job, end ending) Result {
	event := j.event(kindOf(end.fate)).
		WithDetail("fate", string(end.fate)).
		WithDetail("attempts", strconv.Itoa(j.attempts))
	if end.reason != brrequest.ReasonNone {
		event = event.WithDetail("reason", string(end.reason))
	}
	if end.started {
		event = event.
			WithDetail("status", strconv.Itoa(end.status)).
			WithDetail("whole", strconv.FormatBool(end.whole))
	}
	d.events.Record(event)
	return Result{
		fate:         end.fate,
		reason:       end.reason,
		retryAfter:   end.retryAfter,
		organisation: j.verdict.Organisation(),
		started:      end.started,
		whole:        end.whole,
	}
}

func kindOf(fate brrequest.Fate) brevent.Kind {
	switch fate {
	case brrequest.FateRan:
		return brevent.KindRequestAnswered
	case brrequest.FateNotRun:
		return brevent.KindRequestRefused
	default:
		return brevent.KindRequestUnknown
	}
}

func (d *Dispatcher) record(kind brevent.Kind, j *job) {
	d.events.Record(j.event(kind))
}

// event returns an event of the kind with the identity of the request.
func (j *job) event(kind brevent.Kind) brevent.Event {
	return brevent.New(kind).WithRequest(j.request.ID()).WithOrganisation(j.verdict.Organisation())
}
