package brbackend

import (
	"context"
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

// IsDead reports whether connections to an address (host:port) are refused. It
// returns false for a server that can't be reached, which may still be running
// behind a network failure.
func (*Client) IsDead(ctx context.Context, address string) bool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
