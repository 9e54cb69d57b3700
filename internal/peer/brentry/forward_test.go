package brentry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brbackend"
	"bergamotroad.example/bergamotroad/internal/peer/brentry"
	"bergamotroad.example/bergamotroad/internal/service/brdispatch"
	"bergamotroad.example/bergamotroad/internal/standin/brfaultserver"
)

// receiver stands in for the other VM: it records the request and calls receive
// for the response.
type receiver struct {
	request  brrequest.Request
	decision brrequest.Decision
	fields   brmessage.Fields
	target   string
	body     string
	receive  func(ctx context.Context, writer brdispatch.Writer) brdispatch.Result
}

// unlimited is a BandwidthLimiter without a limit.
type unlimited struct{}

func (unlimited) Wait(context.Context, string, string, int64) error { return nil }

func (r *receiver) Receive(ctx context.Context, request brrequest.Request, decision brrequest.Decision, call brmessage.Call, writer brdispatch.Writer) brdispatch.Result {
	r.request = request
	r.decision = decision
	r.fields = call.Fields()
	r.target = call.Target()
	body, _ := io.ReadAll(call.Body())
	r.body = string(body)
	return r.receive(ctx, writer)
}

func forward(t *testing.T, r *receiver) (*brmessage.Response, error) {
	t.Helper()
	server := httptest.NewServer(brentry.WithForwarding(http.NotFoundHandler(), brclock.NewSystem(), r, unlimited{}))
	t.Cleanup(server.Close)
	return forwardTo(t, strings.TrimPrefix(server.URL, "http://"))
}

func forwardTo(t *testing.T, address string) (*brmessage.Response, error) {
	t.Helper()
	route := brconfig.NewRoute(brconfig.NewMeta("entries"), "ledger", "/entries").
		WithRepeat(brconfig.RepeatAny).WithTimeout(9 * time.Second)
	decision := brrequest.Admit("taller-norte", route, 7).WithWeight(3)
	fields := brmessage.NewFields(map[string][]string{"Bergamotroad-Timeout": {"5000"}, "Accept": {"text/plain"}})
	call := brmessage.NewCall("POST", "/a%2Fb//c?x=1", fields, strings.NewReader("body"), 4)
	forwarder := brentry.NewForwarder(brbackend.NewClient(brbackend.NewTransport()), "este-a", unlimited{})
	return forwarder.Forward(t.Context(), brrequest.NewTarget("este-b", "vm-2", address), brrequest.New("id-1", "POST", "/", netip.Addr{}), decision, call)
}

func TestForwardedRequestKeepsDecision(t *testing.T) {
	r := &receiver{receive: func(_ context.Context, writer brdispatch.Writer) brdispatch.Result {
		_ = writer.WriteHead(201, brmessage.NewFields(map[string][]string{"Etag": {"7"}}))
		_, _ = writer.Write([]byte("answer"))
		_ = writer.WriteTrailers(brmessage.NewFields(map[string][]string{"Checksum": {"9"}}))
		return brdispatch.NewResult(brrequest.FateRan, brrequest.ReasonNone, 0).WithStarted(true)
	}}
	response, err := forward(t, r)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body())
	require.NoError(t, err)
	require.Equal(t, "answer", string(body))
	require.Equal(t, 201, response.Status())
	require.Equal(t, "7", response.Fields().First("Etag"))
	require.Equal(t, "9", response.Trailers().First("Checksum"))
	require.Empty(t, response.Fields().First("Bergamotroad-Fate"))
	require.Equal(t, "id-1", r.request.ID())
	require.False(t, r.request.Deadline().IsZero())
	require.Equal(t, "taller-norte", r.decision.Organisation())
	require.Equal(t, 3, r.decision.Weight())
	require.Equal(t, uint64(7), r.decision.Generation())
	require.Equal(t, "ledger", r.decision.Route().Service())
	require.Equal(t, brconfig.RepeatAny, r.decision.Route().Repeat())
	require.Equal(t, 9*time.Second, r.decision.Route().Timeout())
	require.Equal(t, "/a%2Fb//c?x=1", r.target)
	require.Equal(t, "body", r.body)
	require.Empty(t, r.fields.First("Bergamotroad-Organisation"))
	require.Equal(t, "text/plain", r.fields.First("Accept"))
}

func TestForwardedRefusalKeepsReason(t *testing.T) {
	r := &receiver{receive: func(context.Context, brdispatch.Writer) brdispatch.Result {
		return brdispatch.NewResult(brrequest.FateNotRun, brrequest.ReasonNoServer, time.Second)
	}}
	_, err := forward(t, r)
	require.True(t, brdispatch.IsErrRefused(err))
	require.ErrorContains(t, err, string(brrequest.ReasonNoServer))
}

func TestForwardedUnknownFateStaysUnknown(t *testing.T) {
	r := &receiver{receive: func(context.Context, brdispatch.Writer) brdispatch.Result {
		return brdispatch.NewResult(brrequest.FateUnknown, brrequest.ReasonServerFailed, 0)
	}}
	_, err := forward(t, r)
	require.True(t, brbackend.IsErrOutcomeUnknown(err))
}

func TestForwardedTruncatedResponseStaysTruncated(t *testing.T) {
	r := &receiver{receive: func(_ context.Context, writer brdispatch.Writer) brdispatch.Result {
		_ = writer.WriteHead(200, brmessage.NewFields(nil))
		_, _ = writer.Write([]byte("half"))
		return brdispatch.NewResult(brrequest.FateRan, brrequest.ReasonServerFailed, 0).WithStarted(false)
	}}
	response, err := forward(t, r)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body())
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// A broken connection to the other VM, or a response without a fate, leaves it
// unknown whether the request ran.
func TestFailedForwardIsUnknown(t *testing.T) {
	for _, point := range []brfaultserver.Point{brfaultserver.CloseUnread, brfaultserver.CloseInRequestHeader, brfaultserver.CloseBeforeResponse, brfaultserver.CloseInResponseHeader, brfaultserver.Shed} {
		server, err := brfaultserver.Start(point)
		require.NoError(t, err)
		_, err = forwardTo(t, server.Address())
		require.True(t, brbackend.IsErrOutcomeUnknown(err), "point %d: %v", point, err)
		server.Close()
	}
}

func TestForwardToUnreachableVMIsNotSent(t *testing.T) {
	server, err := brfaultserver.Start(brfaultserver.CompleteResponse)
	require.NoError(t, err)
	server.Close()
	_, err = forwardTo(t, server.Address())
	require.True(t, brbackend.IsErrNotSent(err))
}
