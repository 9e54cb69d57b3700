package brnetwork

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrReset means that a stream ended because its connection failed, not because the peer
// closed it.
type ErrReset struct {
	cause error
}

// Error implements error.
func (e ErrReset) Error() string { return fmt.Sprintf("connection reset: %v", e.cause) }

// Unwrap returns the wrapped error.
func (e ErrReset) Unwrap() error { return e.cause }

// IsErrReset reports whether err is or wraps ErrReset.
func IsErrReset(err error) bool {
	_, ok := errors.Into[ErrReset](err)
	return ok
}

// resetConn is a connection on which a reset never looks like a regular end of the stream.
type resetConn struct {
	net.Conn
	writing sync.Mutex // held while data is written
	failure error      // of the first write that failed
}

// WithResetDetection returns a connection whose reads return ErrReset instead of io.EOF once a
// write has failed.
//
// The system reports a reset only once. If a write gets it, the next read returns io.EOF, and
// what the peer sent before the reset looks complete where only the end of the connection
// delimits it.
func WithResetDetection(conn net.Conn) net.Conn { return &resetConn{Conn: conn} }

// Write writes data and records whether that failed.
func (c *resetConn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	if err != nil && c.failure == nil {
		c.failure = err
	}
	return n, err
}

// Read reads data. At the end of the stream, it ends a write in progress.
func (c *resetConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		err = c.endOfStream()
	}
	return n, err
}

// endOfStream returns ErrReset if a write has failed, and io.EOF otherwise.
func (c *resetConn) endOfStream() error {
	// A write in progress may have got the reset, or wait for a peer that reads no more.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure == nil || errors.Is(c.failure, os.ErrDeadlineExceeded) {
		return io.EOF
	}
	return ErrReset{cause: c.failure}
}
