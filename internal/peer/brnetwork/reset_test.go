package brnetwork_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/peer/brnetwork"
	"bergamotroad.example/bergamotroad/internal/standin/brrawserver"
)

// dialServer connects to a server that handles one connection.
func dialServer(t *testing.T, handle brrawserver.Handler) net.Conn {
	t.Helper()
	server, err := brrawserver.Start(handle)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return brnetwork.WithResetDetection(conn)
}

// writeUntilFailure writes until a write fails.
func writeUntilFailure(conn net.Conn) error {
	for {
		if _, err := conn.Write(make([]byte, 1<<10)); err != nil {
			return err
		}
	}
}

// The system reports a reset to the first call that fails; a read after a failed write would
// return a regular end.
func TestReadAfterWriteThatGotTheResetIsNoRegularEnd(t *testing.T) {
	conn := dialServer(t, func(conn *brrawserver.Conn) {
		_, _ = io.ReadFull(conn, make([]byte, 1<<10))
		_, _ = io.WriteString(conn, "part")
		conn.Reset()
	})
	require.ErrorIs(t, writeUntilFailure(conn), syscall.ECONNRESET)
	data, err := io.ReadAll(conn)
	require.True(t, brnetwork.IsErrReset(err), "%v after %q", err, data)
}

// A peer that ends its stream regularly may read no more; the end must not wait for a write
// that the peer blocks.
func TestRegularEndDuringBlockedWriteIsReported(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	conn := dialServer(t, func(conn *brrawserver.Conn) {
		_, _ = io.WriteString(conn, "whole")
		require.NoError(t, conn.Conn.(*net.TCPConn).CloseWrite())
		<-ended
	})
	written := make(chan error, 1)
	go func() { written <- writeUntilFailure(conn) }()
	data, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "whole", string(data))
	require.Error(t, <-written)
}

// lateConn is a connection whose write has got a reset, and returns only after a read that
// returned a regular end.
type lateConn struct {
	net.Conn
	writing, release chan struct{}
}

func (c *lateConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.release
	return 0, syscall.ECONNRESET
}

func (c *lateConn) Read([]byte) (int, error) {
	<-c.writing
	return 0, io.EOF
}

func (c *lateConn) SetWriteDeadline(time.Time) error {
	close(c.release)
	return nil
}

func TestReadWaitsForWriteThatMayHaveGotTheReset(t *testing.T) {
	conn := brnetwork.WithResetDetection(&lateConn{writing: make(chan struct{}), release: make(chan struct{})})
	go func() { _, _ = conn.Write([]byte("data")) }()
	_, err := conn.Read(make([]byte, 1))
	require.True(t, brnetwork.IsErrReset(err), "%v", err)
}
