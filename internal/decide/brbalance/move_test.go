package brbalance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brbalance"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

// movedService returns a service with one server of each version, in the first step
// of a move, in which the new version gets 1% of the requests.
func movedService(t *testing.T) *brconfig.Snapshot {
	t.Helper()
	meta := brconfig.NewMeta
	move := brconfig.NewMove(meta("m"), "lookup", "v1", "v2").
		WithCap(brunit.New(1, 100)).
		WithTimes(experimentStart, experimentStart.Add(time.Hour)).
		WithState(brconfig.MoveRunning, 0, "")
	changes := []brconfig.Change{
		brconfig.Put(brconfig.NewRegion(meta("este"))),
		brconfig.Put(brconfig.NewDomain(meta("este-a"), "este")),
		brconfig.Put(brconfig.NewSite(meta("este-a"), "este-a")),
		brconfig.Put(brconfig.NewVM(meta("vm-0"), "este-a", "127.0.0.1:1", "127.0.0.1:2")),
		brconfig.Put(brconfig.NewService(meta("lookup"))),
		brconfig.Put(move),
	}
	for _, version := range []string{"v1", "v2"} {
		server := brconfig.NewServer(meta(version), "lookup", "este-a", fmt.Sprint("127.0.0.1:", len(changes)), 1)
		changes = append(changes, brconfig.Put(server.WithVersion(version)))
	}
	snapshot, err := brconfig.NewSnapshot().Apply(1, changes)
	require.NoError(t, err)
	return snapshot
}

// Requests that find no free slot must not increase the number of requests that the
// new version may get.
func TestRequestsWithoutSlotDoNotRaiseTheCapOfAMove(t *testing.T) {
	balancer := brbalance.NewBalancer[brbalance.LeastLoaded]("vm-0", "este-a", 1)
	now := experimentStart.Add(time.Minute)
	balancer.Update(now, movedService(t))
	placement := brrequest.NewPlacement("lookup", "").WithRoute("cylinders")
	placed, moved := 0, 0
	for range 40 {
		occupied := []string{}
		for range 50 {
			server, ok := balancer.Pick(now, placement).Get()
			if !ok {
				continue
			}
			occupied = append(occupied, server.Name())
			placed++
			if server.Version() == "v2" {
				moved++
			}
			require.LessOrEqual(t, moved*100, placed, "%d of %d placed requests went to the new version", moved, placed)
		}
		for _, name := range occupied {
			balancer.Release(now, brrequest.NewOutcome(name, brrequest.OutcomeAnswered, time.Millisecond))
		}
	}
	require.Positive(t, placed)
}
