// Package untrusted runs the program as a process, connects clients to it that try to make it
// grow, or get responses that do, and checks that the process stays within fixed bounds and
// serves other callers afterwards.
//
// # Usage
//
//	go test ./tests/untrusted -v                # all cases, one after the other
//	go test ./tests/untrusted -run Entry -v     # only those of entry VMs on the platform
//
// The checks do not depend on the machine's speed: the process is alive, its peak resident
// memory and its descriptors are below a bound, and one request of an ordinary caller is
// answered while the clients are still connected.
package untrusted

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	// The program under test. The import makes its packages inputs of the test, so that
	// go test returns no cached result after they change.
	_ "bergamotroad.example/bergamotroad/internal/command/brcommand"
)

const (
	// senders is the number of clients of each case that send a body or don't read a response.
	// Buffered completely, their bodies exceed the memory of either process.
	senders = 120
	// holders is the number of clients that send an incomplete header. It exceeds the
	// descriptors of either process.
	holders = 1200
	// resetters is the number of clients that open and close connections all the time.
	resetters = 8
	// answerLimit is the time in which a process that is busy with the clients must serve an
	// ordinary request, so that one that hangs fails the test. It is above the times after which
	// stalled clients are disconnected.
	answerLimit  = time.Minute
	attemptPause = 500 * time.Millisecond
	// settleTime lets the process act on the last bytes that the clients sent.
	settleTime = 2 * time.Second
)

// program is the path of the bergamotroad binary under test. It is built without the race
// detector, which multiplies memory use.
var program string

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	folder, err := os.MkdirTemp("", "untrusted-program-*")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program = filepath.Join(folder, "bergamotroad")
	build := exec.Command("go", "build", "-o", program, "../..")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build program:", err)
		return 1
	}
	return m.Run()
}

// cases are the ways in which clients, and a faulty server, try to make a process grow.
var cases = []struct {
	name   string
	attack func(c *crowd)
}{
	// The bodies are complete but for one byte, so that the process can't release them.
	{"content length", func(c *crowd) { c.addAll(senders, sendSized) }},
	{"large chunks", func(c *crowd) { c.addAll(senders, sendLargeChunks) }},
	{"chunks of one byte", func(c *crowd) { c.addAll(senders, sendSmallChunks) }},
	{"incomplete headers", func(c *crowd) { c.addAll(holders, sendHalfHeader) }},
	{"responses not read", func(c *crowd) { c.addAll(senders, ignoreResponse) }},
	{"heads of many fields", func(c *crowd) { c.addAll(senders, receive("short-fields")) }},
	{"heads without end", func(c *crowd) { c.receiveAll("fields", "same-field", "line", "value", "interim", "no-response") }},
	{"bodies without end", func(c *crowd) {
		c.receiveAll("body", "chunks", "small-chunks", "huge-chunk", "extension", "trailers", "huge-length", "after-response")
	}},
	{"all while connections are reset", func(c *crowd) {
		c.resetAll(resetters)
		for _, act := range []action{sendSized, sendLargeChunks, sendSmallChunks, sendHalfHeader, ignoreResponse} {
			c.addAll(senders/4, act)
		}
	}},
}

// system is a process under test with its stand-ins.
type system struct {
	process        *process
	callers        string // host:port
	key            string // header field with the callers' API key
	maxMemory      int64  // bytes
	maxDescriptors int
}

// Guards against clients and servers that make an entry VM run out of memory or descriptors.
func TestEntryStaysWithinItsBounds(t *testing.T) {
	runCases(t, startEntry)
}

// Guards against clients and servers that make a VM of serve run out of memory or descriptors.
func TestServeStaysWithinItsBounds(t *testing.T) {
	runCases(t, startServe)
}

func runCases(t *testing.T, start func(t *testing.T) system) {
	t.Helper()
	for _, tested := range cases {
		t.Run(tested.name, func(t *testing.T) {
			s := start(t)
			s.awaitAnswer(t)
			idle := s.process.peakMemory(t)
			c := newCrowd(s)
			defer c.close()
			tested.attack(c)
			c.awaitSettled()
			time.Sleep(settleTime)
			descriptors := s.process.descriptors(t)
			require.True(t, s.process.isAlive(), "the process ended: %s", s.process.lastOutput())
			s.awaitAnswer(t)
			memory := s.process.peakMemory(t)
			t.Logf("memory %d MB, %d MB before, bound %d MB; %d descriptors, bound %d",
				memory>>20, idle>>20, s.maxMemory>>20, descriptors, s.maxDescriptors)
			require.True(t, s.process.isAlive(), "the process ended: %s", s.process.lastOutput())
			require.LessOrEqual(t, memory, s.maxMemory, "peak resident memory in bytes")
			require.LessOrEqual(t, descriptors, s.maxDescriptors, "open descriptors")
		})
	}
}

// awaitAnswer waits until one ordinary request is answered.
func (s system) awaitAnswer(t *testing.T) {
	t.Helper()
	last := ""
	for end := time.Now().Add(answerLimit); time.Now().Before(end); {
		status, err := ordinaryRequest(s)
		if status == http.StatusOK {
			if last != "" {
				t.Logf("an ordinary request was not answered at first: %s", last)
			}
			return
		}
		last = fmt.Sprintf("status %d, error %v", status, err)
		time.Sleep(attemptPause)
	}
	require.Fail(t, "no ordinary request is answered", "%s; process alive: %v; output: %s", last, s.process.isAlive(), s.process.lastOutput())
}
