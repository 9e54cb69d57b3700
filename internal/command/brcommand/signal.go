package brcommand

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// exitInterrupted is the exit code after a second signal, as shells have it.
const exitInterrupted = 130

// untilSignal returns a context that ends with the first SIGINT or SIGTERM. A
// second one ends the program at once. Both wait in a channel, so that a second
// signal is not lost that comes before the first was dealt with.
func untilSignal(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		for count := 1; ; count++ {
			select {
			case <-signals:
			case <-ended:
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
		close(ended)
		cancel()
	}
}
