package brbackend_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/peer/brbackend"
	"bergamotroad.example/bergamotroad/internal/standin/brfaultserver"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

var methods = []string{"GET", "HEAD", "OPTIONS", "DELETE", "POST", "PUT"}

func newCall(method, id, body string, withKey bool) brmessage.Call {
	fields := brmessage.NewFields(nil)
	fields.Set("X-Request-Id", id)
	if withKey {
		fields.Set("Idempotency-Key", id)
	}
	if body == "" {
		return brmessage.NewCall(method, "/entries", fields, nil, 0)
	}
	return brmessage.NewCall(method, "/entries", fields, strings.NewReader(body), int64(len(body)))
}

func newServer(address string) brconfig.Server {
	return brconfig.NewServer(brconfig.NewMeta("ledger-1"), "ledger", "este-a", address, 3)
}

func readBody(response *brmessage.Response) error {
	_, err := io.Copy(io.Discard, response.Body())
	_ = response.Close()
	return err
}

// Guards against retries by the transport: wherever a kept-alive connection
// breaks, a request must arrive at most once, and a request that is reported as
// not sent or shed must not have run.
func TestRequestArrivesAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		points := []brfaultserver.Point{}
		for range rapid.IntRange(1, 6).Draw(t, "requests") {
			points = append(points, brfaultserver.Point(rapid.IntRange(0, int(brfaultserver.PointCount)-1).Draw(t, "point")))
		}
		server, err := brfaultserver.Start(points...)
		require.NoError(t, err)
		defer server.Close()
		transport := brbackend.NewTransport()
		defer transport.CloseIdleConnections()
		client := brbackend.NewClient(transport)
		for i := range points {
			method := rapid.SampledFrom(methods).Draw(t, "method")
			body := ""
			if method == "POST" || method == "PUT" {
				body = rapid.SampledFrom([]string{"", "cylinder 7"}).Draw(t, "body")
			}
			id := fmt.Sprint(i)
			before := server.Requests()
			response, err := client.Send(context.Background(), newServer(server.Address()), newCall(method, id, body, rapid.Bool().Draw(t, "withKey")))
			if err == nil {
				err = readBody(response)
				require.Equal(t, 1, server.Runs(id))
			}
			require.LessOrEqual(t, server.Requests()-before, 1, "%s request was sent more than once", method)
			if brbackend.IsErrNotSent(err) {
				require.Equal(t, before, server.Requests())
			}
			if brbackend.IsErrShed(err) {
				require.Zero(t, server.Runs(id))
			}
		}
	})
}

func TestConnectionFailuresMapToErrors(t *testing.T) {
	want := map[brfaultserver.Point]func(error) bool{
		brfaultserver.CloseUnread:           brbackend.IsErrOutcomeUnknown,
		brfaultserver.CloseInRequestHeader:  brbackend.IsErrOutcomeUnknown,
		brfaultserver.CloseBeforeResponse:   brbackend.IsErrOutcomeUnknown,
		brfaultserver.CloseInResponseHeader: brbackend.IsErrOutcomeUnknown,
		brfaultserver.Shed:                  brbackend.IsErrShed,
	}
	for point, matches := range want {
		server, err := brfaultserver.Start(point)
		require.NoError(t, err)
		_, err = brbackend.NewClient(brbackend.NewTransport()).Send(t.Context(), newServer(server.Address()), newCall("POST", "1", "cylinder", false))
		require.True(t, matches(err), "point %d: %v", point, err)
		server.Close()
	}
}

func TestTruncatedResponseIsReported(t *testing.T) {
	for _, point := range []brfaultserver.Point{brfaultserver.CloseInBody, brfaultserver.CloseInChunk, brfaultserver.BodyWithoutLength} {
		server, err := brfaultserver.Start(point)
		require.NoError(t, err)
		response, err := brbackend.NewClient(brbackend.NewTransport()).Send(t.Context(), newServer(server.Address()), newCall("GET", "1", "", false))
		require.NoError(t, err)
		require.ErrorIs(t, readBody(response), io.ErrUnexpectedEOF, "point %d", point)
		server.Close()
	}
}

func TestRequestToUnreachableServerIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = brbackend.NewClient(brbackend.NewTransport()).Send(t.Context(), newServer(listener.Addr().String()), newCall("GET", "1", "", false))
	require.True(t, brbackend.IsErrNotSent(err))
}

func TestReservedHeaderFieldsOfServerAreRemoved(t *testing.T) {
	server, err := brfaultserver.Start(brfaultserver.CompleteResponse)
	require.NoError(t, err)
	defer server.Close()
	response, err := brbackend.NewClient(brbackend.NewTransport()).Send(t.Context(), newServer(server.Address()), newCall("GET", "1", "", false))
	require.NoError(t, err)
	require.Empty(t, response.Fields().First("Bergamotroad-Fate"))
	require.NoError(t, readBody(response))
}
