package brnode

import (
	"fmt"
	"strconv"

	"github.com/charmbracelet/log"

	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

// observer logs what goes wrong with duties and puts it on the time line.
type observer struct {
	logger *log.Logger
	events brevent.Recorder
}

// DutyStalled reports a duty that takes no messages.
func (o *observer) DutyStalled(name string, waiting int) {
	o.logger.Error("duty takes no messages", "duty", name, "waiting", waiting)
	o.events.Record(brevent.New(brevent.KindDutyStalled).
		WithResource(name).
		WithDetail("waiting", strconv.Itoa(waiting)))
}

// DutyPanicked reports a duty that panicked.
func (o *observer) DutyPanicked(name string, value any, stack []byte) {
	o.logger.Error("duty panicked", "duty", name, "panic", value, "stack", string(stack))
	o.events.Record(brevent.New(brevent.KindDutyPanicked).
		WithResource(name).
		WithDetail("panic", fmt.Sprint(value)))
}
