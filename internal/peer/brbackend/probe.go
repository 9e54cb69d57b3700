package brbackend

import (
	"context"
	"net"
	"syscall"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// IsDead reports whether a server's machine refuses new connections. A server
// that can't be reached may be alive behind a broken network.
func (*Client) IsDead(ctx context.Context, server brconfig.Server) bool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", server.Address())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = connection.Close()
	return false
}
