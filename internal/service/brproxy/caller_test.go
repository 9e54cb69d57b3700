package brproxy

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brmemory"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brbackend"
)

// stalledWriter is a caller that does not read its response.
type stalledWriter struct{}

func (stalledWriter) WriteHead(int, brmessage.Fields, int64) {}

func (stalledWriter) Write([]byte) (int, error) { return 0, errors.New("write timed out") }

// Guards against servers that are ejected because callers reset their uploads: the upload's
// failure is the caller's, and the request may have run.
func TestResetUploadIsNotBlamedOnTheServer(t *testing.T) {
	source := io.MultiReader(bytes.NewReader(randomBody(100)), iotest.ErrReader(io.ErrUnexpectedEOF))
	j := newJob(brmemory.NewBudget(64<<20), source, maxBufferedBody+1)
	_, ok := j.readBody(t.Context())
	require.True(t, ok)
	_, err := io.ReadAll(j.newCall().Body())
	require.Error(t, err)
	attempt, kind := readOutcome(t.Context(), j, nil, err)
	require.Equal(t, brrequest.OutcomeCancelled, kind)
	require.Equal(t, brrequest.FateUnknown, attempt.result.Fate())
	require.Equal(t, brrequest.ReasonCallerGone, attempt.result.Reason())
}

// Guards against servers that are ejected because callers don't read their responses.
func TestUnreadResponseIsNotBlamedOnTheServer(t *testing.T) {
	j := newJob(brmemory.NewBudget(64<<20), nil, 0)
	j.writer = callerWriter{Writer: stalledWriter{}, failure: &j.caller}
	body := io.NopCloser(bytes.NewReader(randomBody(maxBufferedResponse + 1)))
	attempt, kind := readOutcome(t.Context(), j, brmessage.NewResponse(200, brmessage.NewFields(nil), body, nil), nil)
	require.Equal(t, brrequest.OutcomeCancelled, kind)
	require.False(t, attempt.result.IsComplete())
}

// A server that breaks the connection is still blamed.
func TestBrokenConnectionIsBlamedOnTheServer(t *testing.T) {
	j := newJob(brmemory.NewBudget(64<<20), nil, 0)
	_, kind := readOutcome(t.Context(), j, nil, io.ErrUnexpectedEOF)
	require.Equal(t, brrequest.OutcomeBroken, kind)
}

// Guards against a server that gets no requests for a time, since an upload failed at its
// caller before any of it was sent.
func TestUploadResetBeforeItsStartIsNotBlamedOnTheServer(t *testing.T) {
	j := newJob(brmemory.NewBudget(64<<20), iotest.ErrReader(io.ErrUnexpectedEOF), maxBufferedBody+1)
	_, ok := j.readBody(t.Context())
	require.True(t, ok)
	_, err := io.ReadAll(j.newCall().Body())
	require.Error(t, err)
	attempt, kind := readOutcome(t.Context(), j, nil, brbackend.NewErrNotSent(err))
	require.Equal(t, brrequest.OutcomeCancelled, kind)
	require.Equal(t, brrequest.FateNotRun, attempt.result.Fate())
	require.Equal(t, brrequest.ReasonCallerGone, attempt.result.Reason())
}
