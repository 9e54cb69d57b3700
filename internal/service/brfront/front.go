// Package brfront runs a front of a VM: an HTTP server at one address, for callers,
// peers or operators.
//
// It adds to the handler TLS, limits on connections, requests and bodies, timeouts
// for slow clients, recovery from panics and a graceful shutdown. The context of a request
// ends when its client leaves, also if the client has sent more requests behind it.
//
// # Usage
//
//	front, err := brfront.New("callers", settings, store, handler, dependencies)
//	err = front.Serve()
//	front.DisableKeepAlives()
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

// Front is an HTTP server at one address.
type Front struct {
	name               string
	server             *http.Server
	listener           *listener
	outerListener      net.Listener
	keepAlivesDisabled atomic.Bool
	running            atomic.Int64
}

// New returns a front that listens at its address. The store holds the TLS
// certificate; it is nil for a front without TLS.
func New(name string, settings brsettings.Front, store *brcertificate.Store, handler http.Handler, dependencies Dependencies) (*Front, error) {
	inner, err := net.Listen("tcp", settings.Address())
	if err != nil {
		return nil, errors.Errorf("listen for %s: %w", name, err)
	}
	limits := settings.Limits()
	f := &Front{name: name, listener: newListener(inner, limits.Connections(), limits.ConnectionsPerAddress())}
	f.outerListener = f.listener
	if store != nil {
		f.outerListener = tls.NewListener(f.listener, store.ServerConfig())
	}
	f.server = newServer(limits)
	f.server.Handler = &limitHandler{front: f, limits: limits, dependencies: dependencies, next: handler}
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
		ConnContext:       withConnection,
		// Errors that clients cause must not fill the log.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// Name returns the front's name.
func (f *Front) Name() string { return f.name }

// Connections returns the number of open connections and of those refused so far.
func (f *Front) Connections() (open, refused int) { return f.listener.counts() }

// Running returns the number of requests in progress.
func (f *Front) Running() int { return int(f.running.Load()) }

// Serve serves requests until Shutdown or Close.
func (f *Front) Serve() error {
	if err := f.server.Serve(f.outerListener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Errorf("serve %s: %w", f.name, err)
	}
	return nil
}

// DisableKeepAlives makes every response from now on close its connection.
func (f *Front) DisableKeepAlives() { f.keepAlivesDisabled.Store(true) }

// Shutdown stops accepting connections and waits until no request is in progress.
func (f *Front) Shutdown(ctx context.Context) error {
	if err := f.server.Shutdown(ctx); err != nil {
		return errors.Errorf("drain %s: %w", f.name, err)
	}
	return nil
}

// Close closes the front with all its connections at once.
func (f *Front) Close() {
	_ = f.server.Close()
	_ = f.listener.Close()
}
