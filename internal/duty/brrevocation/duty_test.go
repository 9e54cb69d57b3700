package brrevocation_test

import (
	"context"
	"encoding/hex"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/brrevocation"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/standin/brobserver"
)

var key = brrequest.HashKey("taller-norte-key")

func snapshotWithKey(t *testing.T) *brconfig.Snapshot {
	t.Helper()
	organisation := brconfig.NewOrganisation(brconfig.NewMeta("taller-norte"))
	snapshot, err := brconfig.NewSnapshot().Apply(1, []brconfig.Change{
		brconfig.Put(organisation),
		brconfig.Put(brconfig.NewKey(brconfig.NewMeta("one"), organisation.Name(), hex.EncodeToString(key[:]))),
	})
	require.NoError(t, err)
	return snapshot
}

func withDuty(t *testing.T, scenario func(t *testing.T, revoker *brrevocation.Revoker)) {
	synctest.Test(t, func(t *testing.T) {
		clock := brclock.NewSystem()
		revoker := brrevocation.New(clock)
		group := brduty.NewGroup(t.Context(), clock, brobserver.Nop{})
		group.Start(revoker.Duty())
		defer group.Stop()
		require.NoError(t, revoker.Snapshots().Send(snapshotWithKey(t)))
		revoker.Confirm(time.Now())
		scenario(t, revoker)
	})
}

func TestRequestEndsSoonAfterItsKeyIsRevoked(t *testing.T) {
	withDuty(t, func(t *testing.T, revoker *brrevocation.Revoker) {
		ctx, end, err := revoker.Guard(t.Context(), key)
		require.NoError(t, err)
		defer end()
		time.Sleep(time.Second)
		require.NoError(t, ctx.Err())
		revoked, err := snapshotWithKey(t).Apply(2, []brconfig.Change{brconfig.Delete(brconfig.NewReference(brconfig.KindKey, "one"))})
		require.NoError(t, err)
		require.NoError(t, revoker.Snapshots().Send(revoked))
		time.Sleep(brrevocation.GracePeriod / 2)
		require.NoError(t, ctx.Err(), "a request may still end within the grace period")
		time.Sleep(brrevocation.GracePeriod)
		require.True(t, brrevocation.IsErrRevoked(context.Cause(ctx)))
	})
}

func TestRequestEndsWhenItsKeyCanNotBeConfirmed(t *testing.T) {
	withDuty(t, func(t *testing.T, revoker *brrevocation.Revoker) {
		ctx, end, err := revoker.Guard(t.Context(), key)
		require.NoError(t, err)
		defer end()
		for range 30 {
			time.Sleep(time.Second)
			revoker.Confirm(time.Now())
		}
		require.NoError(t, ctx.Err())
		time.Sleep(8 * time.Second)
		require.True(t, brrevocation.IsErrRevoked(context.Cause(ctx)))
	})
}

func TestRequestWithoutKeyNeedsNoGuard(t *testing.T) {
	withDuty(t, func(t *testing.T, revoker *brrevocation.Revoker) {
		ctx, end, err := revoker.Guard(t.Context(), brrequest.KeyHash{})
		require.NoError(t, err)
		defer end()
		time.Sleep(time.Hour)
		require.NoError(t, ctx.Err())
	})
}
