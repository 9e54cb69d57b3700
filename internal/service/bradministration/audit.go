package bradministration

import (
	"strconv"

	"bergamotroad.example/bergamotroad/internal/decide/braccess"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

// audit records a change in the event timeline, including denied and refused ones.
func (a *Administration) audit(operation Operation, outcome Outcome, err error) {
	event := brevent.New(eventKind(err)).
		WithResource(operation.id).
		WithDetail("author", operation.principal.Name()).
		WithDetail("team", operation.principal.Team())
	if err != nil {
		a.events.Record(event.WithDetail("reason", err.Error()))
		return
	}
	if outcome.repeated {
		event = event.WithDetail("repeated", "true")
	}
	if outcome.changed != "" {
		event = event.WithDetail("changed", outcome.changed)
	}
	a.events.Record(event.WithDetail("generation", strconv.FormatUint(outcome.generation, 10)))
}

func eventKind(err error) brevent.Kind {
	switch {
	case err == nil:
		return brevent.KindChangeAccepted
	case braccess.IsErrDenied(err):
		return brevent.KindChangeDenied
	case IsErrOutcomeUnknown(err):
		return brevent.KindChangeOutcomeUnknown
	default:
		return brevent.KindChangeRefused
	}
}
