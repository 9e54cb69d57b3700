package brdocument_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
)

// Any delta that can be decoded must survive a round trip through EncodeDelta.
func FuzzDecodeDelta(f *testing.F) {
	f.Add([]byte(`{"previous":{"generation":6,"operation":"o","digest":"d"},"operation":"p","changes":[{"put":{"kind":"region","name":"este"}},{"delete":{"kind":"key","name":"k"}}]}`))
	f.Add([]byte(`{"previous":{},"operation":"","changes":[{}]}`))
	f.Add([]byte(`{"previous":{"generation":18446744073709551615},"changes":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		delta, err := brdocument.DecodeDelta(data)
		if err != nil {
			return
		}
		encoded, err := brdocument.EncodeDelta(delta)
		require.NoError(t, err)
		again, err := brdocument.DecodeDelta(encoded)
		require.NoError(t, err)
		require.Equal(t, delta.Generation(), again.Generation())
		require.Equal(t, delta.Operation(), again.Operation())
		require.Len(t, again.Changes(), len(delta.Changes()))
	})
}
