package brproxy

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brmemory"
)

// Guards against buffered responses that exceed the memory, and against responses that are
// changed because they are streamed instead.
func TestResponseIsBufferedWhereItFits(t *testing.T) {
	const large, tight = 64 << 20, 256 << 10
	for name, tested := range map[string]struct {
		size, budget int
		whole        bool
		reserved     int64
	}{
		"empty":              {0, large, true, 0},
		"small":              {unreservedResponse, large, true, 0},
		"small, tight":       {unreservedResponse, tight, true, 0},
		"reserved":           {unreservedResponse + 1, large, true, responseReservation},
		"largest":            {maxBufferedResponse, large, true, responseReservation},
		"too large":          {maxBufferedResponse + 1, large, false, responseReservation},
		"does not fit":       {maxBufferedResponse, tight, false, 0},
		"smallest too large": {unreservedResponse + 1, tight, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			data, budget := randomBody(tested.size), brmemory.NewBudget(int64(tested.budget))
			j, source := newJob(budget, nil, 0), bytes.NewReader(data)
			prefix, whole, err := j.bufferResponse(t.Context(), source)
			require.NoError(t, err)
			require.Equal(t, tested.whole, whole)
			require.Equal(t, tested.reserved, budget.Used())
			rest, err := io.ReadAll(source)
			require.NoError(t, err)
			require.True(t, bytes.Equal(data, append(prefix, rest...)))
			if whole {
				require.Empty(t, rest)
			}
			j.releaseMemory()
			require.Zero(t, budget.Used())
		})
	}
}

// Guards against a truncated response that is taken for a complete one.
func TestTruncatedResponseIsAnError(t *testing.T) {
	for _, size := range []int{100, unreservedResponse + 100} {
		j := newJob(brmemory.NewBudget(64<<20), nil, 0)
		source := io.MultiReader(bytes.NewReader(randomBody(size)), iotest.ErrReader(io.ErrUnexpectedEOF))
		_, whole, err := j.bufferResponse(t.Context(), source)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.False(t, whole)
	}
}

// Guards against an attempt after the first that reserves memory once more.
func TestRetryReusesTheReservation(t *testing.T) {
	budget := brmemory.NewBudget(64 << 20)
	j := newJob(budget, nil, 0)
	for range 3 {
		_, whole, err := j.bufferResponse(t.Context(), bytes.NewReader(randomBody(maxBufferedResponse)))
		require.NoError(t, err)
		require.True(t, whole)
	}
	require.EqualValues(t, responseReservation, budget.Used())
}
