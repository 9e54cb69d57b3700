package brlink_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brlink"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

var start = time.Date(2026, time.December, 4, 0, 0, 0, 0, time.UTC)

// sentChunk is the size of a chunk and when it was sent.
type sentChunk struct {
	at    time.Duration
	bytes int64
}

// In no time window are more bytes sent than rate times window plus burst, and every
// chunk is sent eventually.
func TestBytesInEveryWindowStayWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(10_000, 5_000_000).Draw(t, "bytes a second")
		burst := max(rate/50, brlink.MaxChunk)
		pacer := brlink.NewPacer[int64](rate, start)
		sent := []sentChunk{}
		now, enqueued := start, int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			bytes := rapid.Int64Range(1, brlink.MaxChunk).Draw(t, "bytes")
			stream := rapid.SampledFrom([]string{"extract", "look-up", "ledger"}).Draw(t, "stream")
			require.NoError(t, pacer.Enqueue(stream, bytes, bytes))
			enqueued += bytes
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "milliseconds")) * time.Millisecond)
			for _, granted := range pacer.Grant(now) {
				sent = append(sent, sentChunk{now.Sub(start), granted})
			}
		}
		for {
			wait, waiting := pacer.NextDelay(now)
			if !waiting {
				break
			}
			now = now.Add(wait)
			granted := pacer.Grant(now)
			require.NotEmpty(t, granted, "no chunk granted although one is due")
			for _, bytes := range granted {
				sent = append(sent, sentChunk{now.Sub(start), bytes})
			}
		}
		total := int64(0)
		for _, s := range sent {
			total += s.bytes
		}
		require.Equal(t, enqueued, total)
		for i := range sent {
			sentBytes := int64(0)
			for _, s := range sent[i:] {
				sentBytes += s.bytes
				allowed := float64(rate)*(s.at-sent[i].at).Seconds() + float64(burst)
				require.LessOrEqual(t, float64(sentBytes), allowed+1)
			}
		}
	})
}

// A small look-up waits for at most one chunk of an extract, not for all of
// them.
func TestSmallLookupWaitsForOneChunkOfExtract(t *testing.T) {
	pacer := brlink.NewPacer[string](280_000_000/8/9, start)
	for range 1000 {
		require.NoError(t, pacer.Enqueue("extract", brlink.MaxChunk, "extract"))
	}
	now := start.Add(time.Second)
	pacer.Grant(now)
	require.NoError(t, pacer.Enqueue("look-up", 1000, "look-up"))
	for chunks := 0; ; chunks++ {
		wait, waiting := pacer.NextDelay(now)
		require.True(t, waiting)
		now = now.Add(wait)
		if granted := pacer.Grant(now); granted[0] == "look-up" {
			return
		}
		require.LessOrEqual(t, chunks, 1)
	}
}
