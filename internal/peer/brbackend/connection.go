package brbackend

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

var errSealed = errors.New("connection is sealed")

// connection counts what was handed to the network, and can be sealed against
// further writes. HTTP/1.1 gives it to one request at a time.
type connection struct {
	net.Conn
	mutex  sync.Mutex
	begun  int64 // bytes
	sealed bool
}

// Write sends bytes unless the connection is sealed. Bytes count from before
// they are sent; those of a write that certainly sent none are taken back.
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

// written returns the bytes that may have been sent so far.
func (c *connection) written() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.begun
}

// seal stops all later writes if nothing was written since a count, and
// reports whether that is so.
func (c *connection) seal(since int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.begun != since {
		return false
	}
	c.sealed = true
	return true
}

// dialCounted returns a dialer of connections that count.
func dialCounted(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, errors.Errorf("dial %s: %w", address, err)
		}
		return &connection{Conn: conn}, nil
	}
}
