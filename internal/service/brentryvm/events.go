package brentryvm

import (
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

// eventLogger writes timeline events to the log.
type eventLogger struct {
	journal *brjournal.Journal
}

// Record logs an event as a change of the VM's state.
func (e eventLogger) Record(event brevent.Event) {
	fields := []any{"resource", event.Resource()}
	for name, value := range event.Details().All() {
		fields = append(fields, name, value)
	}
	e.journal.StateChange(string(event.Kind()), fields...)
}
