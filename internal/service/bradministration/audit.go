package bradministration

import (
	"strconv"

	"bergamotroad.example/bergamotroad/internal/decide/braccess"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

// audit puts a change on the time line, also one that was denied or refused.
func (a *Administration) audit(operation Operation, outcome Outcome, err error) {
	event := brevent.New(kindOf(err)).
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
	a.events.Record(event.WithDetail("generation", strconv.FormatUint(outcome.generation, 10)))
}

func kindOf(err error) brevent.Kind {
	switch {
	case err == nil:
		return brevent.KindChangeAccepted
	case braccess.IsErrDenied(err):
		return brevent.KindChangeDenied
	case IsErrOutcomeUnknown(err):
		return brevent.KindChangeUnknown
	default:
		return brevent.KindChangeRefused
	}
}
