package brdispatch

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

func TestStreamedBodyEndsAtTheLimitOfItsRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 100).Draw(t, "size")
		limit := rapid.IntRange(0, 100).Draw(t, "limit")
		call := brmessage.NewCall("POST", "/", brmessage.NewFields(nil), strings.NewReader(strings.Repeat("a", size)), -1)
		read, err := io.ReadAll(limitBody(call, int64(limit)).Body())
		require.Len(t, read, min(size, limit))
		if size > limit {
			require.ErrorIs(t, err, errBodyTooLarge)
		} else {
			require.NoError(t, err)
		}
	})
}
