package brproxy

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brmemory"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// fakeMemory is the memory for bodies without a duty.
type fakeMemory struct{ budget *brmemory.Budget }

func (f fakeMemory) Begin(_ context.Context, holder brmemory.Holder, size int64) brmemory.Verdict {
	return f.budget.Begin(holder, size)
}

func (f fakeMemory) BeginStream(_ context.Context, holder brmemory.Holder) brmemory.Verdict {
	return f.budget.BeginStream(holder)
}

func (f fakeMemory) Grow(_ context.Context, holder brmemory.Holder, held, more int64) bool {
	return f.budget.Grow(holder, held, more)
}

func (f fakeMemory) End(holder brmemory.Holder, bytes int64) { f.budget.End(holder, bytes) }

func newJob(budget *brmemory.Budget, source io.Reader, size int64) *job {
	request := brrequest.New("r", "POST", "/", netip.MustParseAddr("10.0.0.1"))
	return &job{memory: fakeMemory{budget}, request: request, call: brmessage.NewCall("POST", "/", brmessage.NewFields(nil), source, size)}
}

func randomBody(size int) []byte {
	data := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(data)
	return data
}

// Guards against bodies that are changed, cut off or counted wrongly, whatever their size and
// however they arrive and fit.
func TestBodyIsForwardedAsItArrives(t *testing.T) {
	// In a tight budget, the body of another caller leaves room for 286 KB.
	const large, tight, other = 64 << 20, 1 << 20, 500_000
	for name, tested := range map[string]struct {
		size     int
		sized    bool
		budget   int64
		streamed bool
	}{
		"small":                  {100, true, large, false},
		"one part":               {maxPart, true, large, false},
		"largest":                {maxBufferedBody, true, large, false},
		"too large":              {maxBufferedBody + 1, true, large, true},
		"does not fit":           {300_000, true, tight, true},
		"chunked, one byte":      {1, false, large, false},
		"chunked, one part":      {minPart, false, large, false},
		"chunked, several parts": {200_001, false, large, false},
		"chunked, too large":     {3 * maxBufferedBody, false, large, true},
		"chunked, does not fit":  {500_000, false, tight, true},
		"chunked, fits":          {100_000, false, tight, false},
	} {
		for form, wrap := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "halves": iotest.HalfReader, "early end": iotest.DataErrReader} {
			t.Run(name+", "+form, func(t *testing.T) {
				data := randomBody(tested.size)
				size := int64(-1)
				if tested.sized {
					size = int64(tested.size)
				}
				budget := brmemory.NewBudget(tested.budget)
				otherHolder := brmemory.NewHolder(netip.MustParseAddr("10.0.0.2"), "")
				require.Equal(t, brmemory.Buffer, budget.Begin(otherHolder, other))
				j := newJob(budget, wrap(bytes.NewReader(data)), size)
				result, ok := j.readBody(t.Context())
				require.True(t, ok, result.Reason())
				require.Equal(t, tested.streamed, j.body.streamed)
				if !tested.streamed {
					require.GreaterOrEqual(t, j.body.reserved, j.body.size)
				}
				j.setFingerprint()
				got, err := io.ReadAll(j.newCall().Body())
				require.NoError(t, err)
				require.Equal(t, sha256.Sum256(data), sha256.Sum256(got))
				j.releaseMemory()
				require.EqualValues(t, other, budget.Used())
			})
		}
	}
}

// Guards against a body of unknown size that holds little and reserves much.
func TestShortChunkedBodyReservesOnePart(t *testing.T) {
	budget := brmemory.NewBudget(1 << 20)
	j := newJob(budget, bytes.NewReader([]byte("short")), -1)
	_, ok := j.readBody(t.Context())
	require.True(t, ok)
	require.EqualValues(t, minPart, budget.Used())
}

// Guards against a truncated body that is taken for a complete one, and against memory that
// stays reserved for it.
func TestTruncatedBodyIsRefused(t *testing.T) {
	for name, tested := range map[string]struct {
		err    error
		reason brrequest.Reason
	}{
		"cut off": {io.ErrUnexpectedEOF, brrequest.ReasonCallerGone},
		"stalled": {os.ErrDeadlineExceeded, brrequest.ReasonDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int64{100_000, -1} {
				budget := brmemory.NewBudget(1 << 20)
				source := io.MultiReader(bytes.NewReader(randomBody(70_000)), iotest.ErrReader(tested.err))
				j := newJob(budget, source, size)
				result, ok := j.readBody(t.Context())
				require.False(t, ok)
				require.Equal(t, tested.reason, result.Reason())
				require.Equal(t, brrequest.FateNotRun, result.Fate())
				j.releaseMemory()
				require.Zero(t, budget.Used())
			}
		})
	}
}

// deadlineBody is a body that records its deadlines.
type deadlineBody struct {
	io.Reader
	deadlines []time.Time
}

func (d *deadlineBody) SetDeadline(deadline time.Time) { d.deadlines = append(d.deadlines, deadline) }

// Guards against a buffered body that is awaited beyond the request's deadline.
func TestBodyIsAwaitedUntilTheDeadline(t *testing.T) {
	source := &deadlineBody{Reader: bytes.NewReader(randomBody(10))}
	j := newJob(brmemory.NewBudget(1<<20), source, 10)
	j.deadline = time.Unix(1000, 0)
	_, ok := j.readBody(t.Context())
	require.True(t, ok)
	require.Equal(t, []time.Time{j.deadline, {}}, source.deadlines)
}

// Guards against a body that does not fit and is refused as if it had run.
func TestBodyBeyondAnAddressesShareIsRefused(t *testing.T) {
	budget := brmemory.NewBudget(1 << 20)
	first := newJob(budget, bytes.NewReader(randomBody(500_000)), 500_000)
	_, ok := first.readBody(t.Context())
	require.True(t, ok)
	result, ok := newJob(budget, bytes.NewReader(randomBody(100_000)), 100_000).readBody(t.Context())
	require.False(t, ok)
	require.Equal(t, brrequest.ReasonBodiesTooLarge, result.Reason())
	require.Equal(t, brrequest.FateNotRun, result.Fate())
}
