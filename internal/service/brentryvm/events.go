package brentryvm

import (
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
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

// eraLogger logs the eras of the store.
type eraLogger struct {
	journal *brjournal.Journal
}

// EraChanged logs that the store has returned from an older copy, or has told its first era.
func (l eraLogger) EraChanged(from, to brrecord.Era) {
	l.journal.StateChange("era of the store changed", "from", from, "to", to)
}

// EraUnreadable logs that the store has begun not to tell its era.
func (l eraLogger) EraUnreadable(value string) {
	l.journal.StateChange("era of the store unreadable", "value", value)
}
