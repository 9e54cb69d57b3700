// Package brfront runs one front of a VM: listener, TLS, limits on what clients
// send, panics of handlers and the planned stop.
//
// # Usage
//
//	front, err := brfront.New("callers", settings, keeper, handler, parts)
//	failure := front.Serve()
//	front.Leave()
//	err = front.Shutdown(ctx)
package brfront

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/duty/brcertificate"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
)

// Front is an address with its server.
type Front struct {
	name     string
	server   *http.Server
	listener *listener
	secured  net.Listener
	leaving  atomic.Bool
	running  atomic.Int64
}

// New listens at the front's address. The keeper is nil on a plain front.
func New(name string, settings brsettings.Front, keeper *brcertificate.Keeper, handler http.Handler, parts Parts) (*Front, error) {
	inner, err := net.Listen("tcp", settings.Address())
	if err != nil {
		return nil, errors.Errorf("listen for %s: %w", name, err)
	}
	limits := settings.Limits()
	f := &Front{name: name, listener: newListener(inner, limits.Connections(), limits.ConnectionsPerAddress())}
	f.secured = f.listener
	if keeper != nil {
		f.secured = tls.NewListener(f.listener, keeper.ServerConfig())
	}
	f.server = newServer(limits)
	f.server.Handler = &guard{front: f, limits: limits, parts: parts, next: handler}
	return f, nil
}

func newServer(limits brsettings.Limits) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Server{
		Protocols:         protocols,
		ReadHeaderTimeout: limits.HeaderTimeout(),
		IdleTimeout:       limits.IdleTimeout(),
		MaxHeaderBytes:    limits.HeaderBytes(),
		// What a client does wrong must not fill the log.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// Name returns the front's name.
func (f *Front) Name() string { return f.name }

// Connections returns how many connections are held and how many were refused.
func (f *Front) Connections() (held, refused int) { return f.listener.counts() }

// Running returns the number of requests that run.
func (f *Front) Running() int { return int(f.running.Load()) }

// Serve answers clients until Shutdown.
func (f *Front) Serve() error {
	if err := f.server.Serve(f.secured); !errors.Is(err, http.ErrServerClosed) {
		return errors.Errorf("serve %s: %w", f.name, err)
	}
	return nil
}

// Leave makes every later answer close its connection.
func (f *Front) Leave() { f.leaving.Store(true) }

// Shutdown takes no new connections and waits until no request runs.
func (f *Front) Shutdown(ctx context.Context) error {
	if err := f.server.Shutdown(ctx); err != nil {
		return errors.Errorf("drain %s: %w", f.name, err)
	}
	return nil
}

// Close ends the front at once.
func (f *Front) Close() {
	_ = f.server.Close()
	_ = f.listener.Close()
}
