package brallowance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brquota"
	"bergamotroad.example/bergamotroad/internal/duty/braggregator"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

var (
	bounds       = brfleet.NewBounds(6*time.Second, 5*time.Second).WithQuotas(5*time.Second, 0.1, 20)
	organisation = brfleet.NewOrganisation("cold-chain", "k").WithQuota(100, 100)
)

// newLender returns the duty's handler on the only VM of a region, which lends.
func newLender() *handler {
	clock := brclock.NewFake(time.Unix(1000, 0))
	h := &handler{vm: "vm-1", clock: clock, limiter: brquota.NewLimiter(clock.Now(), bounds, func() float64 { return 0 })}
	status := brstatus.New([]string{"vm-1"}, map[string]float64{"cold-chain": 10}, nil)
	h.limiter.SetRegionDemand(clock.Now(), status)
	clock.Advance(bounds.QuotaWindow()) // in which a new lender lends little
	h.limiter.SetRegionDemand(clock.Now(), status)
	h.limiter.SetFleetDemand(clock.Now(), status, 1, true)
	return h
}

// Callers leave before the duty decides on their requests, which therefore don't run. Their
// tokens must not be missing from the quota.
func TestDecisionThatIsNotReceivedTakesNoToken(t *testing.T) {
	for name, kind := range map[string]kind{"own part": kindAdmit, "region's shared part": kindLend} {
		t.Run(name, func(t *testing.T) {
			h := newLender()
			abandoned := brring.NewQueue[brquota.Decision](1)
			abandoned.Close()
			for range 1000 {
				h.Handle(t.Context(), message{kind: kind, organisation: organisation, reply: brring.NewReply(abandoned)})
			}
			replies := brring.NewQueue[brquota.Decision](1)
			h.Handle(t.Context(), message{kind: kind, organisation: organisation, reply: brring.NewReply(replies)})
			decision, ok := replies.TryReceive()
			require.True(t, ok)
			require.True(t, decision.Admitted())
		})
	}
}

// Requests that did not run return their tokens while the duty's ring is full. A refund
// that is rejected would be missing from the quota.
func TestRefundIsAcceptedWhileRingIsFull(t *testing.T) {
	clock := brclock.NewFake(time.Unix(1000, 0))
	self := brfleet.NewVM("vm-1", "", "")
	enforcer := New(clock, "vm-1", bounds, braggregator.New(clock, self), nil)
	queue := enforcer.duty.Queue()
	for err := error(nil); err == nil; {
		err = queue.Send(message{kind: kindAdmit, organisation: organisation})
	}
	full := queue.Len()
	enforcer.Refund(organisation)
	require.Equal(t, full+1, queue.Len())
}
