package brfront

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
)

// startGuard starts a server behind a guard and returns its address.
func startGuard(t *testing.T, limits brsettings.Limits, handler http.HandlerFunc) (*Guard, string) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	guard := NewGuard(brclock.NewSystem(), limits, inner)
	server := guard.Server(handler)
	go func() { _ = server.Serve(guard.Listener()) }()
	t.Cleanup(func() { _ = server.Close() })
	return guard, inner.Addr().String()
}

// Guards against a body whose sender has stalled and that is awaited for ever: its read ends
// when the grace has passed, or before, at the deadline that the handler sets.
func TestStalledBodyEnds(t *testing.T) {
	for name, tested := range map[string]struct{ grace, deadline time.Duration }{
		"grace":    {100 * time.Millisecond, time.Hour},
		"deadline": {time.Hour, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			results := make(chan error, 1)
			_, address := startGuard(t, brsettings.NewLimits(10, 10).WithBodyGrace(tested.grace), func(_ http.ResponseWriter, r *http.Request) {
				body, ok := r.Body.(interface{ SetDeadline(deadline time.Time) })
				require.True(t, ok)
				body.SetDeadline(time.Now().Add(tested.deadline))
				_, err := io.ReadAll(r.Body)
				results <- err
			})
			conn, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc")
			require.NoError(t, err)
			require.True(t, errors.Is(<-results, os.ErrDeadlineExceeded))
		})
	}
}

// Guards against a server without a limit on connections.
func TestGuardClosesConnectionsBeyondTheLimits(t *testing.T) {
	guard, address := startGuard(t, brsettings.NewLimits(10, 2), func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ran") })
	for i := range 2 {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	third, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = third.Close() }()
	_, err = third.Read(make([]byte, 1))
	require.Error(t, err)
	open, refused := guard.Connections()
	require.Equal(t, []int{2, 1}, []int{open, refused})
}
