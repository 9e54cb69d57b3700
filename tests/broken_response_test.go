package tests

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/peer/brbackend"
	"bergamotroad.example/bergamotroad/internal/standin/brrawserver"
)

// As TestMalformedResponseIsNoResponse of brbackend, through a whole VM of `serve`.
func TestServePassesOnNoMalformedResponse(t *testing.T) {
	current, requests := atomic.Pointer[brrawserver.MalformedResponse]{}, atomic.Int64{}
	server, err := brrawserver.Start(func(conn *brrawserver.Conn) {
		for {
			request, err := conn.ReadRequest()
			if err != nil {
				return
			}
			malformed := current.Load()
			if malformed == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
				continue
			}
			requests.Add(1)
			_, _ = io.WriteString(conn, malformed.Text(request.Header.Get("X-Request-Id")))
			return
		}
	})
	require.NoError(t, err)
	defer server.Close()
	url := startVM(t, server.Addr().String()) + "/open/7"
	exchange := func() (int, string) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, nil)
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.StatusCode, string(body)
	}
	sent, reached := 0, 0
	for _, malformed := range brrawserver.MalformedResponses("", brbackend.FieldShed+": 1") {
		if _, variant, ok := strings.Cut(malformed.Name(), ", "); ok && variant != "refusal" {
			continue // brbackend reads them all
		}
		sent++
		current.Store(&malformed)
		before := requests.Load()
		status, body := exchange()
		require.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout}, status, "%s: body %q", malformed.Name(), body)
		if requests.Load() > before {
			require.NotContains(t, body, `"not-run"`, malformed.Name())
			reached++
		}
	}
	require.Greater(t, reached, sent/2, "few requests reached the server")
	current.Store(nil)
	require.Eventually(t, func() bool {
		status, _ := exchange()
		return status == http.StatusOK
	}, awaitTimeout, time.Second, "a sound server is not used again")
}
