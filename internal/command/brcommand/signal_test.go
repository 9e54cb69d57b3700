package brcommand

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/service/brshutdown"
)

// testTimeout bounds the wait for a signal to be handled.
const testTimeout = 20 * time.Second

// sendSignal sends a signal to the test's own process. The process listens itself too, so
// that a signal which arrives after the listener under test is gone doesn't end it.
func sendSignal(t *testing.T, number syscall.Signal) {
	t.Helper()
	signal.Notify(make(chan os.Signal, 1), number)
	require.NoError(t, syscall.Kill(syscall.Getpid(), number))
}

// A supervisor may send any number of signals; none but the first has an effect.
func TestFurtherSignalsDoNotAbortStopOfService(t *testing.T) {
	ctx, release := signalContext(context.Background(), false, func(int) { t.Error("the program is ended") })
	defer release()
	for _, number := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT, syscall.SIGINT, syscall.SIGINT} {
		sendSignal(t, number)
		<-ctx.Done()
	}
	require.False(t, brshutdown.IsAborted(ctx))
}

// At a terminal, only a second interrupt aborts the stop.
func TestSecondInterruptAtTerminalAbortsStop(t *testing.T) {
	ended := make(chan int, 1)
	ctx, release := signalContext(context.Background(), true, func(code int) { ended <- code })
	defer release()
	sendSignal(t, syscall.SIGTERM)
	<-ctx.Done()
	sendSignal(t, syscall.SIGTERM)
	sendSignal(t, syscall.SIGINT)
	require.False(t, brshutdown.IsAborted(ctx))
	require.Eventually(t, func() bool {
		sendSignal(t, syscall.SIGINT) // signals of one kind that come together count once
		return brshutdown.IsAborted(ctx)
	}, testTimeout, testTimeout/1000)
	require.Equal(t, exitInterrupted, <-ended)
}
