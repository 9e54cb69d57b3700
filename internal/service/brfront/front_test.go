package brfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
)

type recorder struct {
	mutex sync.Mutex
	kinds []brevent.Kind
}

func (r *recorder) Record(event brevent.Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.kinds = append(r.kinds, event.Kind())
}

// settingsWith returns the settings of a front without TLS.
func settingsWith(t *testing.T, address, limits string) brsettings.Front {
	t.Helper()
	settings, err := brsettings.Parse(fmt.Appendf(nil, `{
	  "vm": "vm-1", "domain": "a",
	  "callers": {"address": %q, "plain": true, "limits": %s},
	  "peers": {"address": "127.0.0.1:2", "plain": true},
	  "operators": {"address": "127.0.0.1:3", "plain": true, "openAdministration": true},
	  "platform": {"table": "http://127.0.0.1:4", "objects": "http://127.0.0.1:4", "vms": "http://127.0.0.1:4"}
	}`, address, limits))
	require.NoError(t, err)
	return settings.Callers()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

type testFront struct {
	front   *Front
	address string
	events  *recorder
}

func newTestFront(t *testing.T, limits string, handler http.HandlerFunc) *testFront {
	t.Helper()
	f := &testFront{address: freeAddress(t), events: &recorder{}}
	refuse := func(w http.ResponseWriter, status int, fate brrequest.Fate, reason brrequest.Reason, _ time.Duration) {
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, "%s %s", fate, reason)
	}
	dependencies := NewDependencies(brclock.NewSystem(), log.New(io.Discard), f.events, refuse)
	front, err := New("callers", settingsWith(t, f.address, limits), nil, handler, dependencies)
	require.NoError(t, err)
	f.front = front
	go func() { _ = front.Serve() }()
	t.Cleanup(front.Close)
	return f
}

func (f *testFront) dial(t *testing.T) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// send sends raw bytes on a new connection and returns the response with its body.
func (f *testFront) send(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	connection := f.dial(t)
	_, err := io.WriteString(connection, text)
	require.NoError(t, err)
	return receive(t, connection)
}

func receive(t *testing.T, connection net.Conn) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

func discardBody(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func TestMalformedRequestsReachNoHandler(t *testing.T) {
	f := newTestFront(t, "{}", func(_ http.ResponseWriter, r *http.Request) { t.Errorf("handled %s", r.URL) })
	requests := map[string]string{
		"two lengths":               "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
		"sign in length":            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\nx",
		"unknown transfer encoding": "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"two transfer encodings":    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
		"space before colon":        "GET / HTTP/1.1\r\nHost: a\r\nX-A : b\r\n\r\n",
		"NUL in field":              "GET / HTTP/1.1\r\nHost: a\r\nX-A: b\x00c\r\n\r\n",
		"no host":                   "GET / HTTP/1.1\r\n\r\n",
		"two hosts":                 "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"chunked in old protocol":   "GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	}
	for name, text := range requests {
		t.Run(name, func(t *testing.T) {
			response, _ := f.send(t, text)
			require.GreaterOrEqual(t, response.StatusCode, 400)
			require.Less(t, response.StatusCode, 600)
		})
	}
}

// net/http accepts these malformed requests but gives the handler one interpretation
// of each. Forwarded requests are built from it, so a backend server can't interpret
// them differently (request smuggling).
func TestLenientlyParsedRequestsHaveOneInterpretation(t *testing.T) {
	seen := make(chan *http.Request, 1)
	bodies := make(chan string, 1)
	f := newTestFront(t, "{}", func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies <- string(body)
		seen <- r
	})
	f.send(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	require.Equal(t, "abc", <-bodies)
	require.Empty(t, (<-seen).Header.Values("Content-Length"))

	f.send(t, "GET / HTTP/1.1\r\nHost: a\r\nX-A: b\r\n c\r\n\r\n")
	require.Empty(t, <-bodies)
	require.Equal(t, "b c", (<-seen).Header.Get("X-A"))

	f.send(t, "GET http://other/ HTTP/1.1\r\nHost: a\r\n\r\n")
	require.Empty(t, <-bodies)
	r := <-seen
	require.Equal(t, "other", r.Host)
	require.Empty(t, r.Header.Values("Host"))

	f.send(t, "GET / HTTP/1.1\nHost: a\n\n")
	require.Empty(t, <-bodies)
	require.Equal(t, "a", (<-seen).Host)
}

func TestBodiesBeyondTheLimitAreRefused(t *testing.T) {
	f := newTestFront(t, `{"bodyBytes": 4}`, discardBody)
	response, body := f.send(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde")
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	require.Equal(t, "not-run body-too-large", body)
	response, _ = f.send(t, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n")
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
	response, _ = f.send(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd")
	require.Equal(t, http.StatusOK, response.StatusCode)
	connection := f.dial(t)
	_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\nX-A: "+strings.Repeat("a", 64<<10)+"\r\n\r\n")
	require.NoError(t, err)
	response, err = http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
}

func TestSlowBodyTimesOut(t *testing.T) {
	ended := make(chan error, 1)
	f := newTestFront(t, `{"bodyGrace": "20ms"}`, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		ended <- err
	})
	connection := f.dial(t)
	_, err := io.WriteString(connection, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab")
	require.NoError(t, err)
	require.ErrorContains(t, <-ended, "timeout")
}

func TestSlowHeaderTimesOut(t *testing.T) {
	f := newTestFront(t, `{"headerTimeout": "20ms"}`, discardBody)
	connection := f.dial(t)
	_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHo")
	require.NoError(t, err)
	_, err = io.ReadAll(connection)
	require.NoError(t, err, "the front closes the connection")
}

func TestConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	f := newTestFront(t, `{"connectionsPerAddress": 2}`, discardBody)
	exchange := func(connection net.Conn) {
		_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		response, _ := receive(t, connection)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	first, second := f.dial(t), f.dial(t)
	exchange(first)
	exchange(second)
	third := f.dial(t)
	_, err := third.Read(make([]byte, 1))
	require.Error(t, err)
	open, refused := f.front.Connections()
	require.Equal(t, 2, open)
	require.Equal(t, 1, refused)
	_, err = io.WriteString(first, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	_, err = io.ReadAll(first)
	require.NoError(t, err)
	require.Eventually(t, func() bool { open, _ := f.front.Connections(); return open == 1 }, time.Minute, time.Millisecond)
	exchange(f.dial(t))
}

func TestRequestsBeyondTheLimitAreRefused(t *testing.T) {
	inside, leave := make(chan struct{}), make(chan struct{})
	f := newTestFront(t, `{"requests": 1}`, func(http.ResponseWriter, *http.Request) {
		inside <- struct{}{}
		<-leave
	})
	connection := f.dial(t)
	_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	<-inside
	response, body := f.send(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "not-run overloaded", body)
	close(leave)
	response, _ = receive(t, connection)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

func TestFrontRespondsAndServesAfterHandlerPanic(t *testing.T) {
	f := newTestFront(t, "{}", func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/early":
			panic("nil map")
		case "/late":
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "part")
			panic("nil map")
		}
	})
	response, body := f.send(t, "GET /early HTTP/1.1\r\nHost: a\r\n\r\n")
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	require.Equal(t, "unknown handler-panicked", body)

	connection := f.dial(t)
	_, err := io.WriteString(connection, "GET /late HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	rest, _ := io.ReadAll(connection)
	require.NotContains(t, string(rest), "HTTP/1.1 500")
	_, sent, _ := strings.Cut(string(rest), "\r\n\r\n")
	require.Less(t, len(sent), 10, "the body is shorter than its Content-Length")

	response, _ = f.send(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, []brevent.Kind{brevent.KindHandlerPanicked, brevent.KindHandlerPanicked}, f.events.kinds)
}

func TestFrontWithoutKeepAlivesServesAndClosesConnections(t *testing.T) {
	f := newTestFront(t, "{}", discardBody)
	connection := f.dial(t)
	_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	response, _ := receive(t, connection)
	require.False(t, response.Close)
	f.front.DisableKeepAlives()
	_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	response, _ = receive(t, connection)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.True(t, response.Close)
}
