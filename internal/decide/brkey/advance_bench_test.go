package brkey_test

import (
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brkey"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// BenchmarkAdvance measures the cost of granting a key, by the number of
// organisations that have one key each.
func BenchmarkAdvance(b *testing.B) {
	for _, organisations := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			changes := []brconfig.Change{}
			for i := range organisations {
				name := fmt.Sprintf("o%d", i)
				changes = append(changes, brconfig.Put(brconfig.NewOrganisation(brconfig.NewMeta(name))), brconfig.Put(keyOf(name, name)))
			}
			snapshot, err := brconfig.NewSnapshot().Apply(1, changes)
			require.NoError(b, err)
			keychain := brkey.NewKeychain(snapshot)
			next, err := snapshot.Apply(2, []brconfig.Change{brconfig.Put(keyOf("granted", "o0"))})
			require.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				keychain.Advance(next)
			}
		})
	}
}

func keyOf(name, organisation string) brconfig.Key {
	hash := brrequest.HashKey(name)
	return brconfig.NewKey(brconfig.NewMeta(name), organisation, hex.EncodeToString(hash[:]))
}
