package soak

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/peer/brnetwork"
	"bergamotroad.example/bergamotroad/internal/standin/brrawserver"
)

// A proxy that makes a regular end of a reset would hide what servers do, and show VMs as
// broken that are not.
func TestProxyPassesOnResetsDuringUploads(t *testing.T) {
	const uploads = 1000
	server, err := brrawserver.Start(func(conn *brrawserver.Conn) {
		_, _ = io.CopyN(io.Discard, conn, 64<<10)
		_, _ = io.WriteString(conn, strings.Repeat("p", 8<<10))
		conn.Reset()
	})
	require.NoError(t, err)
	defer server.Close()
	p := newProxy(t, "127.0.0.1:0", server.Addr().String())
	regular := 0
	for range uploads {
		inner, err := net.Dial("tcp", p.address())
		require.NoError(t, err)
		conn := brnetwork.WithResetDetection(inner)
		written := make(chan error, 1)
		go func() {
			_, err := io.Copy(onlyWriter{conn}, zeros{})
			written <- err
		}()
		if _, err := io.Copy(io.Discard, conn); err == nil {
			regular++
		}
		_ = conn.Close()
		require.Error(t, <-written)
	}
	require.Zero(t, regular, "of %d resets became regular ends", uploads)
}

// onlyWriter hides all methods but Write.
type onlyWriter struct{ io.Writer }

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(data []byte) (int, error) {
	clear(data)
	return len(data), nil
}
