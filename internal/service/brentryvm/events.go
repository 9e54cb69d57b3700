package brentryvm

import (
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

// events writes timeline events to the log.
type events struct {
	journal *brjournal.Journal
}

// Record logs an event as a change of the VM's state.
func (e events) Record(event brevent.Event) {
	fields := []any{"resource", event.Resource()}
	for name, value := range event.Details().All() {
		fields = append(fields, name, value)
	}
	e.journal.Belief(string(event.Kind()), fields...)
}
