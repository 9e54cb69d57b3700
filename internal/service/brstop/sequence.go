// Package brstop runs a planned stop: steps in order, each with a bound.
//
// A step that fails, panics or exceeds its bound is reported and the next one
// runs, so that one part that hangs keeps no other from its work.
//
// # Usage
//
//	sequence := brstop.NewSequence(logger, timeline,
//		brstop.NewStep("leave look-ups", time.Second, membership.Leave),
//		brstop.NewStep("finish requests", time.Minute, server.Shutdown))
//	err := sequence.Run(ctx)
package brstop

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

// KindStopStep says that a step of a planned stop has ended.
const KindStopStep brevent.Kind = "stop-step"

// Step is one part of a planned stop.
type Step struct {
	name  string
	bound time.Duration
	run   func(ctx context.Context) error
}

// NewStep returns a step that gets the bound as its longest time.
func NewStep(name string, bound time.Duration, run func(ctx context.Context) error) Step {
	return Step{name: name, bound: bound, run: run}
}

// Name returns the step's name.
func (s Step) Name() string { return s.name }

// Sequence is the steps of a planned stop.
type Sequence struct {
	logger *log.Logger
	events brevent.Recorder
	steps  []Step
}

// NewSequence returns the steps in their order.
func NewSequence(logger *log.Logger, events brevent.Recorder, steps ...Step) *Sequence {
	return &Sequence{logger: logger, events: events, steps: steps}
}

// Run runs all steps and returns what went wrong.
func (s *Sequence) Run(ctx context.Context) error {
	faults := []error{}
	for _, step := range s.steps {
		if err := s.runStep(ctx, step); err != nil {
			faults = append(faults, err)
		}
	}
	return errors.Join(faults...)
}

func (s *Sequence) runStep(ctx context.Context, step Step) error {
	err := bounded(ctx, step)
	event := brevent.New(KindStopStep).WithResource(step.name)
	if err != nil {
		s.logger.Error("step of stop failed", "step", step.name, "error", err)
		event = event.WithDetail("error", err.Error())
	} else {
		s.logger.Info("step of stop done", "step", step.name)
	}
	s.events.Record(event)
	return err
}

// bounded returns when the step does or its time is over. A step that does not
// heed its context is left behind; the process is about to end.
func bounded(ctx context.Context, step Step) error {
	ctx, cancel := context.WithTimeout(ctx, step.bound)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- recovered(ctx, step) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	select {
	case err := <-done:
		return err
	default:
		return errors.Errorf("%s: %w", step.name, ctx.Err())
	}
}

func recovered(ctx context.Context, step Step) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = errors.Errorf("%s: panic: %v", step.name, value)
		}
	}()
	if err := step.run(ctx); err != nil {
		return errors.Errorf("%s: %w", step.name, err)
	}
	return nil
}
