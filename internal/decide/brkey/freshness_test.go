package brkey_test

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brkey"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

var start = time.Date(2026, time.December, 4, 0, 0, 0, 0, time.UTC)

func TestKeysAreAcceptedUpToTheMaximumAge(t *testing.T) {
	strict := brconfig.NewOrganisation(brconfig.NewMeta("strict"))
	lenient := strict.WithMaxKeyAge(time.Hour)
	freshness := brkey.Freshness{}
	require.False(t, freshness.Allows(lenient, start), "nothing is confirmed yet")
	freshness.Confirm(start)
	freshness.Confirm(start.Add(-time.Minute))
	require.True(t, freshness.Allows(strict, start.Add(5*time.Second)))
	require.False(t, freshness.Allows(strict, start.Add(5*time.Second+1)))
	require.True(t, freshness.Allows(lenient, start.Add(time.Hour)))
}

func TestKeychainContainsOnlyGrantedKeys(t *testing.T) {
	granted := brrequest.HashKey("granted")
	hash := hex.EncodeToString(granted[:])
	snapshot, err := brconfig.NewSnapshot().Apply(1, []brconfig.Change{
		brconfig.Put(brconfig.NewOrganisation(brconfig.NewMeta("taller-norte"))),
		brconfig.Put(brconfig.NewKey(brconfig.NewMeta("one"), "taller-norte", hash)),
		brconfig.Put(brconfig.NewKey(brconfig.NewMeta("broken"), "taller-norte", "no hash")),
	})
	require.NoError(t, err)
	keychain := brkey.NewKeychain(snapshot)
	organisation, ok := keychain.Organisation(granted).Get()
	require.True(t, ok)
	require.Equal(t, "taller-norte", organisation)
	_, ok = keychain.Organisation(brrequest.HashKey("other")).Get()
	require.False(t, ok)
	_, ok = keychain.Organisation(brrequest.KeyHash{}).Get()
	require.False(t, ok, "the zero hash belongs to no organisation")
}
