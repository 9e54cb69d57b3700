package brbackend

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

var errWritesBlocked = errors.New("writes on the connection are blocked")

// connection counts the bytes written to the network and can block further
// writes. HTTP/1.1 uses it for one request at a time.
type connection struct {
	net.Conn
	mutex         sync.Mutex
	writtenBytes  int64
	writesBlocked bool
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
	return true
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

// countingDial wraps dial so that its connections count written bytes.
func countingDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, errors.Errorf("dial %s: %w", address, err)
		}
		return &connection{Conn: conn}, nil
	}
}
