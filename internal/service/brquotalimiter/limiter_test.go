package brquotalimiter_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/decide/brquota"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brsync"
	"bergamotroad.example/bergamotroad/internal/service/brquotalimiter"
)

// fakeRegion implements the local quota, the lender source and the client of a limiter.
type fakeRegion struct {
	clock     *brclock.Fake
	quota     *brquota.Limiter
	lender    brfleet.VM
	hasLender bool
	grant     bool
	err       error
	requests  int
}

func (r *fakeRegion) Admit(_ context.Context, o brfleet.Organisation) (brquota.Decision, error) {
	return r.quota.Admit(r.clock.Now(), o), nil
}

func (r *fakeRegion) Lend(_ context.Context, o brfleet.Organisation) (brquota.Decision, error) {
	return r.quota.Lend(r.clock.Now(), o), nil
}

func (*fakeRegion) Refund(brfleet.Organisation) {}

func (r *fakeRegion) Lender() (brfleet.VM, bool) { return r.lender, r.hasLender }

func (r *fakeRegion) Borrow(ctx context.Context, _, _ string) (brsync.Grant, error) {
	r.requests++
	if _, bounded := ctx.Deadline(); !bounded {
		return brsync.Grant{}, errors.New("request to lender has no time-out")
	}
	return brsync.NewGrant(r.grant, time.Second), r.err
}

var organisation = brfleet.NewOrganisation("cold-chain", "k").WithQuota(1, 1)

// exhausted returns a limiter whose own share of the quota is used up.
func exhausted(t *testing.T) (*brquotalimiter.QuotaLimiter, *fakeRegion) {
	t.Helper()
	r := &fakeRegion{clock: brclock.NewFake(time.Unix(1000, 0))}
	bounds := brfleet.NewBounds(6*time.Second, 5*time.Second).WithQuotas(5*time.Second, 0.1, 0)
	r.quota = brquota.NewLimiter(r.clock.Now(), bounds, func() float64 { return 0 })
	limiter := brquotalimiter.New(r.clock, "vm-2", r, r, r)
	for range 50 {
		if !r.quota.Admit(r.clock.Now(), organisation).Admitted() {
			return limiter, r
		}
	}
	t.Fatal("own share of the quota was not used up by 50 requests")
	return nil, nil
}

func TestExhaustedShareIsBorrowed(t *testing.T) {
	limiter, r := exhausted(t)
	r.lender, r.hasLender, r.grant = brfleet.NewVM("vm-1", "", "10.0.0.1:7460"), true, true
	decision, err := limiter.Admit(t.Context(), organisation)
	require.NoError(t, err)
	require.True(t, decision.Admitted())
	require.Equal(t, "vm-1", decision.Lender())
	r.grant = false
	decision, err = limiter.Admit(t.Context(), organisation)
	require.NoError(t, err)
	require.False(t, decision.Admitted())
	require.Equal(t, time.Second, decision.Wait())
}

// A lender that does not respond must delay one caller only: until the back-off is
// over, the others are refused without asking it.
func TestUnresponsiveLenderIsNotAskedDuringBackoff(t *testing.T) {
	limiter, r := exhausted(t)
	r.lender, r.hasLender, r.err = brfleet.NewVM("vm-1", "", "10.0.0.1:7460"), true, errors.New("no response")
	for range 20 {
		decision, err := limiter.Admit(t.Context(), organisation)
		require.NoError(t, err)
		require.False(t, decision.Admitted())
		require.Equal(t, r.requests == 1 && decision.Lender() != "", decision.LenderSilent())
	}
	require.Equal(t, 1, r.requests)
	r.clock.Advance(time.Second)
	r.err, r.grant = nil, true
	decision, err := limiter.Admit(t.Context(), organisation)
	require.NoError(t, err)
	require.True(t, decision.Admitted())
}

// A VM that no other VM reports to is not the lender: it must grant nothing from the
// shared part of the quota, not even to itself.
func TestNonLenderGrantsNothing(t *testing.T) {
	limiter, _ := exhausted(t)
	decision, err := limiter.Admit(t.Context(), organisation)
	require.NoError(t, err)
	require.False(t, decision.Admitted())
	require.Equal(t, "vm-2", decision.Lender())
}
