package brbalancer_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/brbalancer"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/standin/brobserver"
)

// runScenario starts load balancing on the only VM of a failure domain that has one
// server with one slot.
func runScenario(t *testing.T, scenario func(t *testing.T, balancer *brbalancer.Balancer)) {
	runStoppedScenario(t, func(t *testing.T, balancer *brbalancer.Balancer, group *brduty.Group) {
		group.Start(balancer.Duty())
		synctest.Wait()
		scenario(t, balancer)
	})
}

// runStoppedScenario leaves the start of the duty to the scenario.
func runStoppedScenario(t *testing.T, scenario func(t *testing.T, balancer *brbalancer.Balancer, group *brduty.Group)) {
	synctest.Test(t, func(t *testing.T) {
		clock := brclock.NewSystem()
		balancer := brbalancer.New("vm-1", "este-a", clock)
		group := brduty.NewGroup(t.Context(), clock, brobserver.Nop{})
		defer group.Stop()
		meta := brconfig.NewMeta
		snapshot, err := brconfig.NewSnapshot().Apply(1, []brconfig.Change{
			brconfig.Put(brconfig.NewRegion(meta("este"))),
			brconfig.Put(brconfig.NewDomain(meta("este-a"), "este")),
			brconfig.Put(brconfig.NewSite(meta("este-a"), "este-a")),
			brconfig.Put(brconfig.NewVM(meta("vm-1"), "este-a", "127.0.0.1:1", "127.0.0.1:2")),
			brconfig.Put(brconfig.NewService(meta("ledger"))),
			brconfig.Put(brconfig.NewServer(meta("ledger-1"), "ledger", "este-a", "127.0.0.1:3", 1)),
		})
		require.NoError(t, err)
		require.NoError(t, balancer.Snapshots().Send(snapshot))
		scenario(t, balancer, group)
	})
}

func placementOf(organisation string) brrequest.Placement {
	return brrequest.NewPlacement("ledger", organisation).WithMaxWait(time.Minute)
}

func releaseAnswered(balancer *brbalancer.Balancer, server brconfig.Server) {
	balancer.Release(brrequest.NewOutcome(server.Name(), brrequest.OutcomeAnswered, time.Millisecond))
}

// Slots are assigned to organisations in turn, regardless of how many requests each has
// queued.
func TestWaitingOrganisationsAreServedInTurn(t *testing.T) {
	runScenario(t, func(t *testing.T, balancer *brbalancer.Balancer) {
		held, err := balancer.Pick(t.Context(), placementOf("first"))
		require.NoError(t, err)
		order := make(chan string, 16)
		wait := func(organisation string) {
			go func() {
				server, err := balancer.Pick(t.Context(), placementOf(organisation))
				if err != nil {
					return
				}
				order <- organisation
				releaseAnswered(balancer, server)
			}()
			synctest.Wait()
		}
		for range 6 {
			wait("noisy")
		}
		wait("quiet")
		releaseAnswered(balancer, held)
		synctest.Wait()
		require.Len(t, order, 7)
		// The head of the queue was chosen before the request of quiet was queued.
		require.Equal(t, "noisy", <-order)
		require.Contains(t, []string{<-order, <-order}, "quiet")
	})
}

func TestNewPlacementDoesNotOvertakeQueue(t *testing.T) {
	runScenario(t, func(t *testing.T, balancer *brbalancer.Balancer) {
		_, err := balancer.Pick(t.Context(), placementOf("first"))
		require.NoError(t, err)
		_, err = balancer.Pick(t.Context(), brrequest.NewPlacement("ledger", "hasty"))
		require.True(t, brbalancer.IsErrServerNotExist(err))
		_, err = balancer.Pick(t.Context(), brrequest.NewPlacement("unknown", "hasty").WithMaxWait(time.Minute))
		require.True(t, brbalancer.IsErrServerNotExist(err), "the service has no server")
	})
}

func TestQueuedPlacementIsRefusedAfterTimeout(t *testing.T) {
	runScenario(t, func(t *testing.T, balancer *brbalancer.Balancer) {
		_, err := balancer.Pick(t.Context(), placementOf("first"))
		require.NoError(t, err)
		started := time.Now()
		for _, placement := range []brrequest.Placement{
			placementOf("late").WithDeadline(started.Add(time.Second)),
			brrequest.NewPlacement("ledger", "impatient").WithMaxWait(time.Second),
		} {
			_, err = balancer.Pick(t.Context(), placement)
			require.True(t, brbalancer.IsErrServerNotExist(err))
		}
		require.Less(t, time.Since(started), 2200*time.Millisecond)
	})
}

// A caller that cancels while it waits, or at the moment it gets the slot, must not keep
// the slot occupied.
func TestSlotOfCancelledCallerIsFreed(t *testing.T) {
	runScenario(t, func(t *testing.T, balancer *brbalancer.Balancer) {
		for i := range 50 {
			held, err := balancer.Pick(t.Context(), placementOf("first"))
			require.NoError(t, err, "round %d", i)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() {
				server, err := balancer.Pick(ctx, placementOf(fmt.Sprint("leaver-", i)))
				if err == nil {
					releaseAnswered(balancer, server)
				}
				done <- err
			}()
			synctest.Wait()
			if i%2 == 0 {
				cancel()
				releaseAnswered(balancer, held)
			} else {
				releaseAnswered(balancer, held)
				cancel()
			}
			<-done
			synctest.Wait()
		}
		_, err := balancer.Pick(t.Context(), brrequest.NewPlacement("ledger", "last"))
		require.NoError(t, err)
	})
}

// A caller cancels while the duty's ring is full, so that the message that says so is
// rejected. The slot that it is assigned later must be freed all the same.
func TestSlotOfCallerThatCancelsWhileRingIsFullIsFreed(t *testing.T) {
	runStoppedScenario(t, func(t *testing.T, balancer *brbalancer.Balancer, group *brduty.Group) {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			_, err := balancer.Pick(ctx, placementOf("leaver"))
			done <- err
		}()
		synctest.Wait()
		const messages = 20000 // more than the ring holds with its reserve
		for range messages {
			balancer.Release(brrequest.NewOutcome("unknown", brrequest.OutcomeAnswered, time.Millisecond))
		}
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
		group.Start(balancer.Duty())
		synctest.Wait()
		_, err := balancer.Pick(t.Context(), brrequest.NewPlacement("ledger", "last"))
		require.NoError(t, err)
	})
}
