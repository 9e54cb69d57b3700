// Package brshutdown runs a graceful shutdown as a sequence of steps, each with a
// time-out.
//
// A step that fails, panics or times out is logged and the next one runs, so that a
// part that hangs does not keep the others from shutting down.
//
// # Usage
//
//	sequence := brshutdown.NewSequence(logger, timeline,
//		brshutdown.NewStep("leave look-ups", time.Second, membership.Leave),
//		brshutdown.NewStep("finish requests", time.Minute, server.Shutdown))
//	err := sequence.Run(ctx)
package brshutdown

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

// KindStopStep is the kind of the event that reports the end of a shutdown step.
const KindStopStep brevent.Kind = "stop-step"

// Step is one step of a graceful shutdown.
type Step struct {
	name    string
	timeout time.Duration
	run     func(ctx context.Context) error
}

// NewStep returns a step whose context ends after the timeout.
func NewStep(name string, timeout time.Duration, run func(ctx context.Context) error) Step {
	return Step{name: name, timeout: timeout, run: run}
}

// Name returns the step's name.
func (s Step) Name() string { return s.name }

// Sequence holds the steps of a graceful shutdown.
type Sequence struct {
	logger *log.Logger
	events brevent.Recorder
	steps  []Step
}

// NewSequence returns a sequence that runs the steps in the given order.
func NewSequence(logger *log.Logger, events brevent.Recorder, steps ...Step) *Sequence {
	return &Sequence{logger: logger, events: events, steps: steps}
}

// Run runs all steps and returns their errors, joined.
func (s *Sequence) Run(ctx context.Context) error {
	errs := []error{}
	for _, step := range s.steps {
		if err := s.runStep(ctx, step); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func (s *Sequence) runStep(ctx context.Context, step Step) error {
	err := runWithTimeout(ctx, step)
	event := brevent.New(KindStopStep).WithResource(step.name)
	if err != nil {
		s.logger.Error("shutdown step failed", "step", step.name, "error", err)
		event = event.WithDetail("error", err.Error())
	} else {
		s.logger.Info("shutdown step done", "step", step.name)
	}
	s.events.Record(event)
	return err
}

// runWithTimeout returns when the step ends or times out. The goroutine of a step that
// ignores its context is abandoned, since the process is about to exit.
func runWithTimeout(ctx context.Context, step Step) error {
	ctx, cancel := context.WithTimeout(ctx, step.timeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- runRecovered(ctx, step) }()
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

// runRecovered runs a step and returns a panic as an error.
func runRecovered(ctx context.Context, step Step) (err error) {
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
