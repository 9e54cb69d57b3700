package brkey_test

import (
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brkey"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// A keychain that is advanced has the same keys as one that is built from the
// snapshot, even if intermediate snapshots were skipped.
func TestAdvancedKeychainHasTheSameKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := brconfig.NewSnapshot()
		keychain := brkey.NewKeychain(snapshot)
		snapshot, err := snapshot.Apply(1, []brconfig.Change{brconfig.Put(brconfig.NewOrganisation(brconfig.NewMeta("one")))})
		require.NoError(t, err)
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			number := rapid.IntRange(0, 2).Draw(t, "number")
			snapshot, err = snapshot.Apply(snapshot.Generation()+1, []brconfig.Change{drawKeyChange(t, number)})
			require.NoError(t, err)
			if rapid.Bool().Draw(t, "skipped") {
				continue
			}
			keychain = keychain.Advance(snapshot)
			for i := range 3 {
				hash := brrequest.HashKey(fmt.Sprint(i))
				require.Equal(t, brkey.NewKeychain(snapshot).Organisation(hash), keychain.Organisation(hash))
			}
		}
	})
}

func drawKeyChange(t *rapid.T, number int) brconfig.Change {
	name := fmt.Sprintf("key-%d", number)
	switch rapid.IntRange(0, 2).Draw(t, "change") {
	case 0:
		return brconfig.Delete(brconfig.NewReference(brconfig.KindKey, name))
	case 1:
		return brconfig.Put(brconfig.NewRegion(brconfig.NewMeta(name)))
	default:
		hash := brrequest.HashKey(fmt.Sprint(number))
		return brconfig.Put(brconfig.NewKey(brconfig.NewMeta(name), "one", hex.EncodeToString(hash[:])))
	}
}
