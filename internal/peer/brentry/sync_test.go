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

func TestStandingsCarryStoppingVMs(t *testing.T) {
	standing := brstatus.New(nil, nil, nil).WithStopping(map[string]time.Duration{"vm-3": 1500 * time.Millisecond})
	s := &fakeSyncer{update: brsync.NewUpdate(nil, standing, time.Second)}
	client, address, _ := startSyncer(t, s)
	update, err := client.Sync(t.Context(), address, "vm-1", "north", brrecord.Revisions{}, 0, standing)
	require.NoError(t, err)
	require.Equal(t, standing.Stopping(), update.Fleet().Stopping())
	require.Equal(t, standing.Stopping(), s.reported.Stopping())
}

func TestStandingsCarryPoisonNotices(t *testing.T) {
	fingerprint := brrequest.NewFingerprint("entries", "GET", "/deadly", nil, 0)
	notices := []brrequest.PoisonNotice{
		brrequest.NewPoisonNotice(fingerprint, "server-1/7"),
		brrequest.NewPoisonClearance(fingerprint, "server-2/9"),
		brrequest.NewPoisonLift(fingerprint),
	}
	standing := brstatus.New(nil, nil, nil).WithPoison(notices)
	s := &fakeSyncer{update: brsync.NewUpdate(nil, standing, time.Second)}
	client, address, _ := startSyncer(t, s)
	update, err := client.Sync(t.Context(), address, "vm-1", "north", brrecord.Revisions{}, 0, standing)
	require.NoError(t, err)
	require.Equal(t, notices, update.Fleet().Poison())
	require.Equal(t, notices, s.reported.Poison())
	_, exchanged, err := client.Exchange(t.Context(), address, "south", standing)
	require.NoError(t, err)
	require.Equal(t, notices, exchanged.Poison())
}
