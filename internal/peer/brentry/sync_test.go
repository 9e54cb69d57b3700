package brentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
	"bergamotroad.example/bergamotroad/internal/model/brsync"
)

func TestStatusCarriesStoppingVMs(t *testing.T) {
	status := brstatus.New(nil, nil, nil).WithStopping(map[string]time.Duration{"vm-3": 1500 * time.Millisecond})
	syncer := &fakeSyncer{update: brsync.NewUpdate(nil, status, time.Second)}
	client, address, _ := startSyncer(t, syncer)
	update, err := client.Sync(t.Context(), address, "vm-1", "north", brrecord.Revisions{}, 0, status)
	require.NoError(t, err)
	require.Equal(t, status.Stopping(), update.Fleet().Stopping())
	require.Equal(t, status.Stopping(), syncer.reported.Stopping())
}

func TestStatusCarriesPoisonNotices(t *testing.T) {
	fingerprint := brrequest.NewFingerprint("entries", "GET", "/deadly", nil, 0)
	notices := []brrequest.PoisonNotice{
		brrequest.NewPoisonNotice(fingerprint, "server-1/7"),
		brrequest.NewPoisonClearance(fingerprint, "server-2/9"),
		brrequest.NewPoisonLift(fingerprint),
	}
	status := brstatus.New(nil, nil, nil).WithPoison(notices)
	syncer := &fakeSyncer{update: brsync.NewUpdate(nil, status, time.Second)}
	client, address, _ := startSyncer(t, syncer)
	update, err := client.Sync(t.Context(), address, "vm-1", "north", brrecord.Revisions{}, 0, status)
	require.NoError(t, err)
	require.Equal(t, notices, update.Fleet().Poison())
	require.Equal(t, notices, syncer.reported.Poison())
	_, exchanged, err := client.Exchange(t.Context(), address, "south", status)
	require.NoError(t, err)
	require.Equal(t, notices, exchanged.Poison())
}

// What a VM knows of the time before its records decides on other VMs whether the store was
// unavailable.
func TestSyncCarriesCoverage(t *testing.T) {
	for _, coverage := range []brrecord.Coverage{{}, brrecord.NewCoverage(0, true), brrecord.NewCoverage(30*24*time.Hour, false)} {
		batch := brrecord.NewBatch(brrecord.AreaServers, []brrecord.Record{}, 7, false).WithCoverage(coverage)
		syncer := &fakeSyncer{update: brsync.NewUpdate([]brrecord.Batch{batch}, brstatus.New(nil, nil, nil), time.Second)}
		client, address, _ := startSyncer(t, syncer)
		update, err := client.Sync(t.Context(), address, "vm-1", "north", brrecord.Revisions{}, 0, brstatus.New(nil, nil, nil))
		require.NoError(t, err)
		require.Equal(t, []brrecord.Batch{batch}, update.Batches())
	}
}

// The requests and outcomes at servers have to arrive as they were sent: sums of them decide
// how many requests a server gets.
func TestStatusCarriesServerUses(t *testing.T) {
	uses := map[brstatus.ServerKey]brstatus.ServerUse{
		brstatus.NewServerKey("i-1"): brstatus.NewServerUse(3),
		brstatus.NewServerKey("i-2"): brstatus.NewServerUse(0).WithOutcomes(16, 40),
	}
	status := brstatus.New(nil, nil, nil).WithServers(uses)
	syncer := &fakeSyncer{update: brsync.NewUpdate(nil, status, time.Second)}
	client, address, _ := startSyncer(t, syncer)
	update, err := client.Sync(t.Context(), address, "vm-1", "north", brrecord.Revisions{}, 0, status)
	require.NoError(t, err)
	require.Equal(t, uses, update.Fleet().Servers())
	require.Equal(t, uses, syncer.reported.Servers())
}
