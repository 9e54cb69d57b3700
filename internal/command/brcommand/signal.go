package brcommand

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// exitInterrupted is the exit code after a second signal, the code that shells
// report for SIGINT.
const exitInterrupted = 130

// signalContext returns a context that is cancelled by the first SIGINT or SIGTERM.
// A second signal exits the program immediately. The channel buffers two signals,
// so that a second one that arrives before the first is handled is not lost.
func signalContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		for count := 1; ; count++ {
			select {
			case <-signals:
			case <-done:
				return
			}
			cancel()
			if count > 1 {
				os.Exit(exitInterrupted)
			}
		}
	}()
	return ctx, func() {
		signal.Stop(signals)
		close(done)
		cancel()
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
