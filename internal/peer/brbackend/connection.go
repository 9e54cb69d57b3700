package brbackend

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

var errSealed = errors.New("writes on the connection are blocked")

// connection counts the bytes written to the network and can block further
// writes. HTTP/1.1 uses it for one request at a time.
type connection struct {
	net.Conn
	mutex  sync.Mutex
	begun  int64 // bytes
	sealed bool
}

// Write writes data unless writes are blocked. The bytes are counted before they
// are sent, and subtracted again if the write failed without sending any.
func (c *connection) Write(part []byte) (int, error) {
	if !c.begin(int64(len(part))) {
		return 0, errSealed
	}
	n, err := c.Conn.Write(part)
	if n == 0 && err != nil {
		c.begin(-int64(len(part)))
	}
	return n, err
}

func (c *connection) begin(bytes int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sealed {
		return false
	}
	c.begun += bytes
	return true
}

// written returns the number of bytes that may have been sent so far.
func (c *connection) written() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.begun
}

// seal blocks all later writes if the count of written bytes is still since, and
// reports whether it is.
func (c *connection) seal(since int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.begun != since {
		return false
	}
	c.sealed = true
	return true
}

// dialCounted wraps dial so that its connections count written bytes.
func dialCounted(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, errors.Errorf("dial %s: %w", address, err)
		}
		return &connection{Conn: conn}, nil
	}
}
