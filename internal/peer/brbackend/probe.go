package brbackend

import (
	"context"
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

// IsDead reports whether a server's machine refuses new connections at an
// address, host:port. A server that can't be reached may be alive behind a broken
// network.
func (*Client) IsDead(ctx context.Context, address string) bool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = connection.Close()
	return false
}
