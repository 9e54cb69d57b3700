package tests

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/platform/brstandin"
)

// awaitTimeout is the timeout for what must happen. It is generous: the tests do not measure
// how long it takes.
const awaitTimeout = 20 * time.Second

// As TestBodyIsWholeOrCutOffWhenServerRespondsEarly of brassembly, for a VM of `serve`.
func TestServeForwardsBodyWholeOrCutOffWhenServerRespondsEarly(t *testing.T) {
	server := brstandin.NewUnregisteredServer(brstandin.NewStore(), "open-1", "open", "a", "v1")
	defer server.Close()
	bodies := make(chan brstandin.ReceivedBody, 100)
	server.OnBody(func(body brstandin.ReceivedBody) { bodies <- body })
	address := strings.TrimPrefix(startVM(t, server.Address()), "http://")
	for i, c := range brstandin.EarlyCases() {
		t.Run(c.Name(), func(t *testing.T) {
			defer func() {
				if t.Failed() {
					server.Disconnect() // ends what a failed case has left
				}
			}()
			id := fmt.Sprint("early-", i)
			upload := c.Upload(id, "/open/", nil)
			response := upload.Send(t.Context(), address)
			require.NoError(t, response.Check(c.Response(id)))
			body := awaitBody(t, bodies, id)
			require.NoError(t, body.Check(upload.Size()))
			if c.Holds() {
				require.True(t, body.Complete(), "the body is cut off although the response lasted longer")
			}
		})
	}
}

// awaitBody returns the body that the server read of an upload.
func awaitBody(t *testing.T, bodies <-chan brstandin.ReceivedBody, id string) brstandin.ReceivedBody {
	t.Helper()
	timeout := time.After(awaitTimeout)
	for {
		select {
		case body := <-bodies:
			if body.ID() == id {
				return body
			}
		case <-timeout:
			require.Fail(t, "the server still reads the body")
		}
	}
}

// A body that nobody reads to its end must not be taken for the next requests on its
// connection: net/http's server recognises such a body only by its own type, which a front
// replaces.
func TestServeTakesNoRequestFromRestOfBody(t *testing.T) {
	server := brstandin.NewUnregisteredServer(brstandin.NewStore(), "open-1", "open", "a", "v1")
	defer server.Close()
	runs := make(chan string, 100)
	server.OnRequest(func(r brstandin.ReceivedRequest) { runs <- r.ID() })
	address := strings.TrimPrefix(startVM(t, server.Address()), "http://")
	for _, target := range []string{"/open/7?" + brstandin.NewEarlyResponse("1", 1<<20, 1<<10).Query(), "/unknown"} {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		require.NoError(t, conn.SetDeadline(time.Now().Add(awaitTimeout)))
		const size, sentBefore = 4 << 20, 1<<20 + 1<<16
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: depot.example\r\nContent-Length: %d\r\n\r\n%s", target, size, strings.Repeat("A", sentBefore))
		require.NoError(t, err)
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		// Wherever the front would go on reading, a method of some length comes first.
		hidden := strings.Repeat("A", 4000) + " /open/hidden HTTP/1.1\r\nHost: depot.example\r\n\r\n"
		_, _ = io.WriteString(conn, strings.Repeat(hidden, (size-sentBefore)/len(hidden)))
		_, err = http.ReadResponse(reader, nil)
		require.Error(t, err, "%s: there is no second response", target)
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "%s: the connection is closed", target)
		require.True(t, response.Close, "%s: the response says that its connection is closed", target)
	}
	require.Len(t, runs, 1, "one request ran")
}

// A small request that is rejected before its body is read keeps its connection.
func TestServeKeepsConnectionOfSmallRejectedRequest(t *testing.T) {
	address := strings.TrimPrefix(startVM(t, "127.0.0.1:1"), "http://")
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range 3 {
		_, err := io.WriteString(conn, "POST /unknown HTTP/1.1\r\nHost: depot.example\r\nContent-Length: 4\r\n\r\nbody")
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusNotFound, response.StatusCode)
		require.False(t, response.Close)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
	}
}
