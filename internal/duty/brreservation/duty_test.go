package brreservation_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/decide/brmemory"
	"bergamotroad.example/bergamotroad/internal/duty/brreservation"
	"bergamotroad.example/bergamotroad/internal/standin/brobserver"
)

const budgetBytes = 1 << 20

// countingJournal counts the log lines.
type countingJournal struct{ lines chan string }

func (c countingJournal) StateChange(change string, _ ...any) { c.lines <- change }

func start(t *testing.T) (*brreservation.Reservations, chan string) {
	t.Helper()
	lines := make(chan string, 100)
	reservations := brreservation.New(brclock.NewSystem(), budgetBytes, countingJournal{lines: lines})
	group := brduty.NewGroup(t.Context(), brclock.NewSystem(), brobserver.Nop{})
	group.Start(reservations.Duty())
	t.Cleanup(group.Stop)
	return reservations, lines
}

var holder = brmemory.NewHolder(netip.MustParseAddr("10.0.0.1"), "depot")

// Guards against memory that is reserved for a caller who disconnects while the duty decides,
// and that nobody releases.
func TestDisconnectedCallerReleasesItsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reservations, _ := start(t)
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		for range 100 {
			require.Equal(t, brmemory.Buffer, reservations.Begin(gone, holder, budgetBytes/2))
			reservations.End(holder, budgetBytes/2)
		}
	})
}

// Guards against a log that grows with the number of refused bodies.
func TestRefusedBodiesAreLoggedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reservations, lines := start(t)
		require.Equal(t, brmemory.Buffer, reservations.Begin(t.Context(), holder, budgetBytes/2))
		for range 1000 {
			require.Equal(t, brmemory.Refuse, reservations.Begin(t.Context(), holder, budgetBytes/2))
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Len(t, lines, 1)
	})
}
