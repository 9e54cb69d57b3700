package brrecord_test

import (
	"cmp"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// Revisions are ordered by era first, and keep both of their parts. Guards against a version
// that the store gave out again and that is taken for an older one (CONFIG, review case 11).
func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) (brrecord.Era, uint64) {
			return brrecord.Era(rapid.Uint16().Draw(t, name+" era")), rapid.Uint64Range(0, brrecord.MaxVersion).Draw(t, name+" version")
		}
		eraA, versionA := draw("a")
		eraB, versionB := draw("b")
		a, b := brrecord.NewRevision(eraA, versionA), brrecord.NewRevision(eraB, versionB)
		require.Equal(t, eraA, a.Era())
		require.Equal(t, versionA, a.Version())
		require.Equal(t, cmp.Or(cmp.Compare(eraA, eraB), cmp.Compare(versionA, versionB)), cmp.Compare(a, b))
	})
	require.Equal(t, brrecord.NewRevision(3, brrecord.MaxVersion), brrecord.NewRevision(3, brrecord.MaxVersion+7))
}
