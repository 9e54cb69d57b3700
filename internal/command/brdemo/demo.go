// Package brdemo runs the whole system in one process for a bounded time and
// checks the system's promises against what callers and backend servers observed.
//
// The demo runs six entry VMs in two regions and four failure domains, with an
// in-memory platform, backend servers, and callers of three organisations. While
// the callers send requests, one organisation exceeds its rate, a key is
// revoked, a server and a VM are taken out of service, and the platform becomes
// unavailable.
//
// # Usage
//
//	demo := brdemo.New(brclock.NewSystem(), 30*time.Second, os.Stdout)
//	report, err := demo.Run(ctx)
//	err = report.Print(os.Stdout)
//	if report.Broken() {
//		// a promise was broken
//	}
package brdemo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
)

// progressPeriod is the time between two progress lines.
const progressPeriod = time.Second

// Demo is one run of the demo.
type Demo struct {
	clock    brclock.Clock
	duration time.Duration
	output   io.Writer
}

// New returns a run whose callers send requests for the duration. Progress lines
// are written to the output.
func New(clock brclock.Clock, duration time.Duration, output io.Writer) *Demo {
	return &Demo{clock: clock, duration: duration, output: output}
}

// Run starts the system, runs the phases and returns a report with a verdict on each
// promise.
func (d *Demo) Run(ctx context.Context) (Report, error) {
	fleet, err := startFleet(ctx, d.clock)
	if err != nil {
		return Report{}, errors.Errorf("start VMs: %w", err)
	}
	defer fleet.stop()
	start := d.clock.Now()
	if err := fleet.configure(ctx); err != nil {
		return Report{}, errors.Errorf("apply configuration: %w", err)
	}
	generator := newLoadGenerator(d.clock, fleet)
	generator.start()
	eventTimes, err := d.runPhases(ctx, fleet, generator)
	observed := observation{
		times:   eventTimes.withSpan(start, d.clock.Now()),
		records: generator.stop(),
		lookups: generator.lookups.Load(),
		servers: fleet.servers,
		stopped: fleet.stopped,
	}
	if err != nil {
		return Report{}, err
	}
	return checkPromises(observed), nil
}

// runPhases starts each phase when it is due and prints progress in between.
func (d *Demo) runPhases(ctx context.Context, fleet *fleet, generator *loadGenerator) (times, error) {
	start := d.clock.Now()
	eventTimes := times{}
	current := "look-ups and keyed requests"
	for _, p := range phases {
		if err := d.wait(ctx, start, d.duration.Seconds()*p.at, current, generator); err != nil {
			return eventTimes, err
		}
		current = p.name
		if err := p.run(ctx, d.clock, fleet, generator, &eventTimes); err != nil {
			return eventTimes, errors.Errorf("%s: %w", p.name, err)
		}
	}
	return eventTimes, d.wait(ctx, start, d.duration.Seconds(), current, generator)
}

// wait waits until so many seconds after the start and prints progress.
func (d *Demo) wait(ctx context.Context, start time.Time, seconds float64, phase string, generator *loadGenerator) error {
	end := start.Add(time.Duration(seconds * float64(time.Second)))
	for {
		left := end.Sub(d.clock.Now())
		if left <= 0 {
			return nil
		}
		if err := sleep(ctx, d.clock, min(left, progressPeriod)); err != nil {
			return errors.Errorf("demo interrupted: %w", err)
		}
		_, _ = fmt.Fprintf(d.output, "%5.1fs  %-28s look-ups %d  sent %d  ran %d  refused %d  failed %d\n",
			d.clock.Now().Sub(start).Seconds(), phase,
			generator.lookups.Load(), generator.sent.Load(), generator.ran.Load(), generator.refused.Load(), generator.failed.Load())
	}
}

func sleep(ctx context.Context, clock brclock.Clock, duration time.Duration) error {
	timer := clock.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
