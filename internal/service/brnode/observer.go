package brnode

import (
	"fmt"
	"strconv"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

// observer logs stalls and panics of duties, counts them and records them as events.
type observer struct {
	logger *log.Logger
	events brevent.Recorder
	stalls prometheus.Counter
	panics prometheus.Counter
}

func newObserver(logger *log.Logger, events brevent.Recorder) *observer {
	return &observer{
		logger: logger,
		events: events,
		stalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bergamotroad_duty_stalls_total",
			Help: "Times that a duty was found not to process its waiting messages.",
		}),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bergamotroad_duty_panics_total",
			Help: "Panics of duties.",
		}),
	}
}

func (o *observer) collectors() []prometheus.Collector {
	return []prometheus.Collector{o.stalls, o.panics}
}

// DutyStalled reports a duty that does not process its waiting messages.
func (o *observer) DutyStalled(name string, waiting int) {
	o.stalls.Inc()
	o.logger.Error("duty stalled", "duty", name, "waiting", waiting)
	o.events.Record(brevent.New(brevent.KindDutyStalled).
		WithResource(name).
		WithDetail("waiting", strconv.Itoa(waiting)))
}

// DutyPanicked reports a duty that panicked.
func (o *observer) DutyPanicked(name string, value any, stack []byte) {
	o.panics.Inc()
	o.logger.Error("duty panicked", "duty", name, "panic", value, "stack", string(stack))
	o.events.Record(brevent.New(brevent.KindDutyPanicked).
		WithResource(name).
		WithDetail("panic", fmt.Sprint(value)))
}
