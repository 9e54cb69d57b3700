package brproxy

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

type discardJournal struct{}

func (discardJournal) Decision(string, string, ...any) {}

func (discardJournal) Failure(string, string, ...any) {}

// Guards against requests in progress without a limit, and against a refusal beyond it that
// counts as in progress for ever.
func TestRequestsBeyondTheLimitAreRefused(t *testing.T) {
	p := New(brclock.NewSystem(), nil, nil, nil, nil, nil, nil, discardJournal{}).WithMaxRequests(0)
	request := brrequest.New("r", "GET", "/", netip.Addr{})
	result := p.Forward(t.Context(), request, brmessage.NewCall("GET", "/", brmessage.NewFields(nil), nil, 0), nil)
	require.Equal(t, brrequest.ReasonTooManyRequests, result.Reason())
	require.Equal(t, brrequest.FateNotRun, result.Fate())
	require.Positive(t, result.RetryAfter())
	require.Zero(t, p.running.Load())
}
