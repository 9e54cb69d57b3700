package brbackend

import (
	"net"
	"slices"
	"sync"

	"github.com/go-faster/errors"
)

// maxRecentIDs is the number of latest requests whose identifiers a connection remembers.
const maxRecentIDs = 16

var errWritesBlocked = errors.New("writes on the connection are blocked")

// connection counts the bytes written to the network and can block further
// writes, and checks the heads of responses. HTTP/1.1 uses it for one request at a time.
type connection struct {
	net.Conn
	onClose       func()
	mutex         sync.Mutex
	head          headChecker
	writtenBytes  int64
	writesBlocked bool
	uses          int      // requests to which the connection was assigned
	recentIDs     []string // identifiers of the latest requests, oldest first
	busy          bool     // a request was written and its response is not complete
	retired       bool     // to be closed as soon as it is not busy
}

// Read reads data. It fails at a malformed head.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if malformed := c.head.check(data[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// Write writes data unless writes are blocked. The bytes are counted before they
// are sent, and subtracted again if the write failed without sending any.
func (c *connection) Write(data []byte) (int, error) {
	if !c.addWritten(int64(len(data))) {
		return 0, errWritesBlocked
	}
	n, err := c.Conn.Write(data)
	if n == 0 && err != nil {
		c.addWritten(-int64(len(data)))
	}
	return n, err
}

func (c *connection) addWritten(bytes int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.writesBlocked {
		return false
	}
	c.writtenBytes += bytes
	c.busy = c.busy || bytes > 0
	return true
}

// retire closes the connection as soon as it is not in use. Writes are blocked before it
// is closed, so that a request which is assigned to it meanwhile is known not to be sent.
func (c *connection) retire() {
	c.mutex.Lock()
	c.retired = true
	idle := !c.busy
	c.writesBlocked = c.writesBlocked || idle
	c.mutex.Unlock()
	if idle {
		_ = c.Close()
	}
}

// acquire records that the connection is assigned to a request, and returns the number of
// this use and whether a recent request on it had the same identifier.
func (c *connection) acquire(id string) (number int, repeated bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.uses++
	repeated = slices.Contains(c.recentIDs, id)
	if len(c.recentIDs) == maxRecentIDs {
		c.recentIDs = slices.Delete(c.recentIDs, 0, 1)
	}
	c.recentIDs = append(c.recentIDs, id)
	return c.uses, repeated
}

// setIdle records that a use has ended and the connection is kept for another request. It
// may be called late, when the connection is in use again, but before what follows the
// response is read.
func (c *connection) setIdle(use int) {
	c.mutex.Lock()
	c.head.expectHead()
	ended := use == c.uses
	c.busy = c.busy && !ended
	retired := c.retired && ended
	c.mutex.Unlock()
	if retired {
		c.retire()
	}
}

// Close closes the connection.
func (c *connection) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// written returns the number of bytes that may have been sent so far.
func (c *connection) written() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writtenBytes
}

// blockWrites blocks all later writes if the count of written bytes still equals
// expected, and reports whether it does.
func (c *connection) blockWrites(expected int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.writtenBytes != expected {
		return false
	}
	c.writesBlocked = true
	return true
}
