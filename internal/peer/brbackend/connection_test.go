package brbackend

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// closingConn counts how often it is closed.
type closingConn struct {
	net.Conn
	closed int
}

func (*closingConn) Write(data []byte) (int, error) { return len(data), nil }

func (c *closingConn) Close() error {
	c.closed++
	return nil
}

func newConnection() (*connection, *closingConn) {
	conn := &closingConn{}
	return &connection{Conn: conn, onClose: func() {}}, conn
}

// The transport reports that a connection is idle after it has put it into its pool, where
// the next request may have taken it already. That request must not be cut off.
func TestRetireSparesConnectionThatIsInUseAgain(t *testing.T) {
	c, conn := newConnection()
	first, _ := c.acquire("1")
	_, err := c.Write([]byte("first"))
	require.NoError(t, err)
	second, _ := c.acquire("2")
	_, err = c.Write([]byte("second"))
	require.NoError(t, err)
	c.setIdle(first)
	c.retire()
	require.Zero(t, conn.closed, "the second request is running")
	c.setIdle(second)
	require.Positive(t, conn.closed)
}

// A request that takes a connection which is closed at that moment is known not to be sent.
func TestRetireBlocksWritesOnIdleConnection(t *testing.T) {
	c, conn := newConnection()
	first, _ := c.acquire("1")
	c.setIdle(first)
	c.acquire("2")
	c.retire()
	require.Positive(t, conn.closed)
	_, err := c.Write([]byte("next"))
	require.ErrorIs(t, err, errWritesBlocked)
	require.Zero(t, c.written())
}
