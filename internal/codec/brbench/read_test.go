package brbench_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/codec/brbench"
)

const output = `goos: linux
BenchmarkApply/blocks=1000-8 	 100	 900 ns/op	 12 B/change
BenchmarkApply/blocks=1000-8 	 100	 1100 ns/op	 12 B/change
BenchmarkApply/blocks=1000-8 	 100	 9000 ns/op	 12 B/change
BenchmarkApply/blocks=2000-8 	 100	 2100 ns/op	 13 B/change
BenchmarkApply/blocks=3000-8 	 100	 3100 ns/op	 14 B/change
PASS
`

func TestSeriesTakesTheMedianOfEachSize(t *testing.T) {
	results, err := brbench.Read(strings.NewReader(output), "output")
	require.NoError(t, err)
	points, err := results.Series("Apply", "blocks", "ns/op")
	require.NoError(t, err)
	require.Len(t, points, 3)
	require.InDelta(t, 1000, points[0].Size(), 0)
	require.InDelta(t, 1100, points[0].Cost(), 0)
	require.InDelta(t, 3000, points[2].Size(), 0)
	_, err = results.Series("Apply", "sites", "ns/op")
	require.True(t, brbench.IsErrSeriesNotExist(err))
}
