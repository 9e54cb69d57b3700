package untrusted

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bodySize = 1 << 20 // the largest body that entry buffers
	// chunkSize is the size of large chunks.
	chunkSize = 64 << 10
	// writeTimeout bounds a client's write to a process that does not read.
	writeTimeout = 20 * time.Second
	// crowdAddresses is the number of loopback addresses that the clients of a crowd use.
	crowdAddresses  = 4
	host            = "depot.example"
	ordinaryAddress = "127.0.0.2"
	answerTimeout   = 10 * time.Second
)

var requestNumber atomic.Int64

// action is what a client does on its connection. It returns once the client has sent what
// it wants to send, or can't go on; the connection stays open.
type action func(s system, conn net.Conn)

// crowd is a set of clients that try to make a process grow.
type crowd struct {
	system  system
	stop    chan struct{}
	clients sync.WaitGroup // those that have not settled yet
	resets  sync.WaitGroup
	mutex   sync.Mutex
	conns   []net.Conn
}

func newCrowd(s system) *crowd { return &crowd{system: s, stop: make(chan struct{})} }

// addAll connects clients that do the same.
func (c *crowd) addAll(count int, act action) {
	for i := range count {
		c.clients.Go(func() {
			conn, err := dial(c.system.callers, fmt.Sprintf("127.0.1.%d", 1+i%crowdAddresses))
			if err != nil {
				return
			}
			c.mutex.Lock()
			c.conns = append(c.conns, conn)
			c.mutex.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			act(c.system, conn)
		})
	}
}

// resetAll starts clients that open connections, send a part of a request and reset the
// connection, until the crowd is closed.
func (c *crowd) resetAll(count int) {
	for range count {
		c.resets.Go(func() {
			for {
				select {
				case <-c.stop:
					return
				default:
				}
				c.reset()
			}
		})
	}
}

func (c *crowd) reset() {
	conn, err := dial(c.system.callers, "127.0.1.9")
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeHeader(conn, c.system, "/upload/1", fmt.Sprintf("Content-Length: %d", bodySize)); err == nil {
		_, _ = conn.Write(make([]byte, chunkSize))
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// awaitSettled waits until all clients have sent what they want to send.
func (c *crowd) awaitSettled() { c.clients.Wait() }

// close closes the connections of all clients.
func (c *crowd) close() {
	close(c.stop)
	c.resets.Wait()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// dial connects from a loopback address.
func dial(address, from string) (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}, Timeout: answerTimeout}
	return dialer.Dial("tcp", address)
}

// writeHeader writes a request's header with one more field.
func writeHeader(conn net.Conn, s system, path, field string) error {
	id := requestNumber.Add(1)
	_, err := fmt.Fprintf(conn, "POST %s%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: crowd-%d\r\nX-Request-Deadline-Ms: 60000\r\n%s\r\n%s\r\n\r\n",
		path, id, host, id, s.key, field)
	return err
}

// sendSized sends all but the last byte of a body with a Content-Length.
func sendSized(s system, conn net.Conn) {
	if writeHeader(conn, s, "/upload/", fmt.Sprintf("Content-Length: %d", bodySize)) == nil {
		_, _ = io.CopyN(conn, zeros{}, bodySize-1)
	}
}

// sendLargeChunks sends all but the last byte of a body in large chunks.
func sendLargeChunks(s system, conn net.Conn) {
	if writeHeader(conn, s, "/upload/", "Transfer-Encoding: chunked") != nil {
		return
	}
	chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", chunkSize, make([]byte, chunkSize)))
	for range bodySize/chunkSize - 1 {
		if _, err := conn.Write(chunk); err != nil {
			return
		}
	}
	_, _ = conn.Write(chunk[:len(chunk)-3]) // without the last byte and the line end after it
}

// sendSmallChunks sends all but the last byte of a body in chunks of one byte.
func sendSmallChunks(s system, conn net.Conn) {
	if writeHeader(conn, s, "/upload/", "Transfer-Encoding: chunked") != nil {
		return
	}
	chunks := bytes.Repeat([]byte("1\r\nx\r\n"), chunkSize)
	for range bodySize/chunkSize - 1 {
		if _, err := conn.Write(chunks); err != nil {
			return
		}
	}
	_, _ = conn.Write(chunks[:len(chunks)-3])
}

// sendHalfHeader sends the beginning of a header.
func sendHalfHeader(_ system, conn net.Conn) {
	_, _ = fmt.Fprintf(conn, "POST /upload/1 HTTP/1.1\r\nHost: %s\r\nX-Filler: %s", host, strings.Repeat("f", 8<<10))
}

// ignoreResponse asks for a response that is too large for the buffers of the connection and
// does not read it.
func ignoreResponse(s system, conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4 << 10)
	}
	_ = writeHeader(conn, s, "/large/", "Content-Length: 0")
}

// ordinaryRequest sends one small request and returns the status of the response. The error
// holds the text of a refusal.
func ordinaryRequest(s system) (int, error) {
	conn, err := dial(s.callers, ordinaryAddress)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	if err := writeHeader(conn, s, "/look/", "Content-Length: 5"); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(conn, "hello"); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.New(string(text))
	}
	return response.StatusCode, err
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(data []byte) (int, error) {
	clear(data)
	return len(data), nil
}
