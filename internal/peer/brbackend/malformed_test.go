package brbackend_test

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/peer/brbackend"
	"bergamotroad.example/bergamotroad/internal/standin/brrawserver"
)

// A response that is none in HTTP/1.1 must not be passed on, and must not tell that its
// request has not run, whether its connection is new or kept.
func TestMalformedResponseIsNoResponse(t *testing.T) {
	for _, malformed := range brrawserver.MalformedResponses("", brbackend.FieldShed+": 1") {
		t.Run(malformed.Name(), func(t *testing.T) {
			server, err := brrawserver.Start(func(conn *brrawserver.Conn) {
				for {
					request, err := conn.ReadRequest()
					if err != nil {
						return
					}
					if id := request.Header.Get("X-Request-Id"); id == "malformed" {
						_, _ = io.WriteString(conn, malformed.Text(id))
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
				}
			})
			require.NoError(t, err)
			defer server.Close()
			transport := brbackend.NewTransport()
			defer transport.CloseIdleConnections()
			client := brbackend.NewClient(transport)
			for _, ids := range [][]string{{"malformed"}, {"1", "2", "malformed"}} {
				for _, id := range ids {
					response, err := client.Exchange(t.Context(), server.Addr().String(), newCall("POST", id, "", false))
					if id == "malformed" {
						require.True(t, brbackend.IsErrOutcomeUnknown(err), "%v", err)
						continue
					}
					require.NoError(t, err)
					require.Equal(t, id == "1", brbackend.IsOnNewConnection(response))
					_, err = io.Copy(io.Discard, response.Body)
					require.NoError(t, err)
					require.NoError(t, response.Body.Close())
				}
			}
		})
	}
}
