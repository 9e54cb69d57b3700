// Package brreload provides the duty that reloads the settings, on request and when they
// have changed.
//
// # Usage
//
//	reloader := brreload.New(clock, file, func(bounds brfleet.Bounds) {}, journal)
//	group.Start(reloader.Duty())
//	reloader.Reload()
package brreload

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
)

const (
	queueCapacity = 4 // reload requests; requests beyond that are redundant
	// checkPeriod is the interval between checks for changes. Operators expect a change to
	// take effect within about this time.
	checkPeriod = 2 * time.Second
)

// Source provides the settings.
type Source interface {
	// Changed reports whether the settings have changed since the last call.
	Changed() (bool, error)
	// Bounds reads the settings and returns those that may change while a VM runs.
	Bounds() (brfleet.Bounds, error)
}

// Reloader is the duty and its client methods, which may be called concurrently.
type Reloader struct {
	duty *brduty.Duty[struct{}, struct{}]
}

// New returns the duty. It calls apply with the bounds of each reload.
func New(clock brclock.Clock, source Source, apply func(brfleet.Bounds), journal *brjournal.Journal) *Reloader {
	h := &handler{source: source, apply: apply, journal: journal}
	return &Reloader{duty: brduty.New[struct{}, struct{}]("reloading", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithPeriod(checkPeriod))}
}

// Duty returns the duty for a group to start.
func (r *Reloader) Duty() brduty.Runner { return r.duty }

// Reload requests a reload of the settings.
func (r *Reloader) Reload() { _ = r.duty.Queue().Send(struct{}{}) }

type handler struct {
	source  Source
	apply   func(brfleet.Bounds)
	journal *brjournal.Journal
}

// Handle reloads the settings on request.
func (h *handler) Handle(context.Context, struct{}) { h.reload("told") }

// Update does nothing: the duty uses no snapshots.
func (*handler) Update(context.Context, struct{}) {}

// Tick reloads the settings if they have changed.
func (h *handler) Tick(context.Context, time.Time) {
	changed, err := h.source.Changed()
	if err != nil {
		h.journal.StateChange("settings unreadable", "error", err.Error())
		return
	}
	if changed {
		h.reload("changed")
	}
}

// reload applies the current settings. If they can't be read, the previous ones stay in
// effect.
func (h *handler) reload(cause string) {
	bounds, err := h.source.Bounds()
	if err != nil {
		h.journal.StateChange("settings kept", "cause", cause, "error", err.Error())
		return
	}
	h.apply(bounds)
	h.journal.StateChange("settings reloaded", "cause", cause)
}
