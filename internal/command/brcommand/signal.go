package brcommand

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bergamotroad.example/bergamotroad/internal/service/brshutdown"
)

const (
	// exitInterrupted is the exit code of a program that a second interrupt ended, the
	// code that shells report for SIGINT.
	exitInterrupted = 130
	// abortTimeout is how long an aborted command may take to end by itself, for example
	// to write its last log lines.
	abortTimeout = time.Second
)

// signalContext returns a context that is cancelled by the first SIGINT or SIGTERM, and a
// function that releases it. Later SIGTERMs change nothing, since a supervisor may send
// several: a stop ends within its own time limits. If interactive is true, a second SIGINT
// aborts the stop, see brshutdown.WithAbort, and calls exit a little later.
func signalContext(parent context.Context, interactive bool, exit func(code int)) (context.Context, context.CancelFunc) {
	abortContext, abort := context.WithCancel(context.WithoutCancel(parent))
	ctx, cancel := context.WithCancel(brshutdown.WithAbort(parent, abortContext))
	// One place for each kind, so that a signal of one kind can't displace the other.
	interrupts, terminations := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT)
	signal.Notify(terminations, syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		for count := 0; ; {
			select {
			case <-terminations:
			case <-interrupts:
				count++
			case <-done:
				return
			}
			cancel()
			if interactive && count == 2 {
				abort()
				time.AfterFunc(abortTimeout, func() { exit(exitInterrupted) })
			}
		}
	}()
	return ctx, func() {
		signal.Stop(interrupts)
		signal.Stop(terminations)
		close(done)
		cancel()
		abort()
	}
}

// onHangup calls a function on each SIGHUP until the returned function is called.
func onHangup(call func()) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-signals:
				call()
			case <-done:
				return
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}
