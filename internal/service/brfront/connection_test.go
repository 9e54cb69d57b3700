package brfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/service/brsettings"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// heldServer handles requests to /held until their clients leave, and others at once.
type heldServer struct {
	guard   *Guard
	address string
	begun   chan string
	left    chan string
	ran     atomic.Int64
}

func startHeldServer(t *testing.T) *heldServer {
	t.Helper()
	s := &heldServer{begun: make(chan string, 100), left: make(chan string, 100)}
	s.guard, s.address = startGuard(t, brsettings.NewLimits(1000, 1000).WithBodyGrace(time.Minute), func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.ran.Add(1)
		s.begun <- r.URL.Path
		if r.URL.Path == "/held" {
			<-r.Context().Done()
			s.left <- r.URL.Path
		}
	})
	return s
}

func (s *heldServer) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

const (
	heldRequest = "GET /held HTTP/1.1\r\nHost: a\r\n\r\n"
	heldUpload  = "POST /held HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
	nextRequest = "GET /next HTTP/1.1\r\nHost: a\r\n\r\n"
)

// Guards against servers that work on for a client that has sent more requests behind one and
// has left, and against these requests running after it (GONE, review case 15).
func TestLeavingIsSeenBehindSentRequests(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, behind string
	}{
		{name: "nothing", first: heldRequest},
		{name: "a request", first: heldRequest, behind: nextRequest},
		{name: "two requests", first: heldRequest, behind: nextRequest + nextRequest},
		{name: "a request behind an upload", first: heldUpload, behind: nextRequest},
		{name: "part of a body", first: heldRequest, behind: "POST /next HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nbody"},
		{name: "part of a chunked body", first: heldRequest, behind: "POST /next HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo"},
		{name: "part of a head", first: heldRequest, behind: "GET /next HTT"},
		{name: "bytes that are no request", first: heldRequest, behind: "\x00\x01\r\n\r\n"},
	} {
		for name, leave := range map[string]func(*net.TCPConn){
			"closed": func(conn *net.TCPConn) { _ = conn.Close() },
			"reset":  func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() },
		} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				s := startHeldServer(t)
				conn := s.dial(t)
				write(t, conn, c.first)
				require.Equal(t, "/held", <-s.begun)
				if c.behind != "" {
					write(t, conn, c.behind)
				}
				time.Sleep(2 * unreadTime)
				leave(conn)
				require.Equal(t, "/held", <-s.left)
				s.awaitClosed(t)
				require.EqualValues(t, 1, s.ran.Load(), "a request ran after its client had left")
			})
		}
	}
}

// awaitClosed waits until no connection is left, and checks that nothing is kept of them.
func (s *heldServer) awaitClosed(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		open, _ := s.guard.Connections()
		return open == 0
	}, time.Minute, time.Millisecond)
	require.Zero(t, s.guard.listener.ahead.used.Load())
}

// Requests that are sent ahead are handled whole and in order, however they are cut and however
// long each takes. Guards against bytes that are read ahead and lost, or given to another request.
func TestRequestsSentAheadStayInOrder(t *testing.T) {
	handled := make(chan string, 100)
	_, address := startGuard(t, brsettings.NewLimits(1000, 1000).WithBodyGrace(time.Minute), func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		wait, _ := strconv.Atoi(r.Header.Get("Wait"))
		time.Sleep(time.Duration(wait) * time.Millisecond)
		handled <- fmt.Sprint(r.URL.Path, len(body), strings.Trim(string(body), "x"), err)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	rapid.Check(t, func(t *rapid.T) {
		text, want := "", []string{}
		for i := range rapid.IntRange(2, 6).Draw(t, "requests") {
			size := rapid.SampledFrom([]int{0, 0, 10, 3000, 3 * maxAhead}).Draw(t, "body")
			wait := rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 120}).Draw(t, "wait")
			text += fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: a\r\nWait: %d\r\nContent-Length: %d\r\n\r\n%s", i, wait, size, strings.Repeat("x", size))
			want = append(want, fmt.Sprintf("/%d%d<nil>", i, size))
		}
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		cuts := rapid.SliceOfN(rapid.IntRange(0, len(text)), 0, 4).Draw(t, "cuts")
		slices.Sort(cuts)
		go func() {
			from := 0
			for _, to := range append(cuts, len(text)) {
				_, _ = io.WriteString(conn, text[from:to])
				time.Sleep(5 * time.Millisecond)
				from = to
			}
		}()
		reader := bufio.NewReader(conn)
		for i, w := range want {
			require.Equal(t, w, <-handled)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, fmt.Sprint("/", i), string(body))
		}
	})
}

// A client that sends without end behind a request costs a bounded number of bytes, and its
// request is answered. Guards against memory that grows with what callers send.
func TestBytesReadAheadAreBounded(t *testing.T) {
	release := make(chan struct{})
	guard, address := startGuard(t, brsettings.NewLimits(1000, 1000), func(w http.ResponseWriter, r *http.Request) {
		<-release
		_, _ = io.WriteString(w, r.URL.Path)
	})
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	write(t, conn, heldRequest)
	go func() { _, _ = io.Copy(conn, endless{}) }()
	require.Eventually(t, func() bool { return guard.listener.ahead.used.Load() == maxAhead }, time.Minute, time.Millisecond)
	time.Sleep(2 * unreadTime)
	require.EqualValues(t, maxAhead, guard.listener.ahead.used.Load())
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "/held", string(body))
}

// endless is a client that sends without end.
type endless struct{}

func (endless) Read(part []byte) (int, error) {
	for i := range part {
		part[i] = 'x'
	}
	return len(part), nil
}

// While the memory for bytes that are read ahead is used up, requests are served as before.
func TestConnectionsWithoutBudgetDoNotReadAhead(t *testing.T) {
	s := startHeldServer(t)
	s.guard.listener.ahead.used.Store(maxAheadTotal)
	conn := s.dial(t)
	write(t, conn, heldRequest)
	require.Equal(t, "/held", <-s.begun)
	write(t, conn, nextRequest)
	time.Sleep(2 * unreadTime)
	require.EqualValues(t, maxAheadTotal, s.guard.listener.ahead.used.Load())
	s.guard.listener.ahead.used.Store(0)
	_ = conn.Close()
	require.Equal(t, "/held", <-s.left, "the connection reads ahead once there is memory again")
	s.awaitClosed(t)
}

// Connections that find the budget used up take nothing of it, not even for a moment: another one
// would find it used up, too.
func TestBudgetIsNeverExceeded(t *testing.T) {
	budget := &aheadBudget{}
	budget.used.Store(maxAheadTotal)
	group := sync.WaitGroup{}
	for range 4 {
		group.Go(func() {
			for range 20_000 {
				if budget.acquire() {
					t.Error("the budget is used up")
				}
				if used := budget.used.Load(); used != maxAheadTotal {
					t.Errorf("%d bytes are used", used)
					return
				}
			}
		})
	}
	group.Wait()
}

// The time limit for the next head holds although the connection read ahead before, and the
// connection is closed without an answer.
func TestIdleConnectionIsClosedAfterReadingAhead(t *testing.T) {
	_, address := startGuard(t, brsettings.NewLimits(10, 10).WithHeaders(16<<10, 3*unreadTime, 3*unreadTime), func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * unreadTime)
		_, _ = io.WriteString(w, "ran")
	})
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	write(t, conn, heldRequest+nextRequest)
	answers, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, 2, strings.Count(string(answers), "HTTP/1.1 200 OK"))
}
