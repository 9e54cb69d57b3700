package brentryvm

import (
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bergamotroad.example/bergamotroad/internal/peer/brentry"
	"bergamotroad.example/bergamotroad/internal/service/brproxy"
)

const (
	// idleTimeout is the idle timeout of callers' connections. It is longer than
	// the time for which callers reuse idle connections, so that the caller closes
	// them and never sends on one that this VM is closing.
	idleTimeout   = 75 * time.Second
	headerTimeout = 10 * time.Second
	headerBytes   = 64 << 10
)

func (v *VM) listen(factory HandlerFactory, proxy *brproxy.Proxy) error {
	callers, closeConns := factory.Callers(v.clock, proxy)
	v.closeConns = closeConns
	registry := prometheus.NewRegistry()
	registry.MustRegister(v.collectors...)
	registry.MustRegister(&collector{vm: v})
	handlers := map[string]http.Handler{
		v.config.self.CallerAddress(): callers,
		v.config.self.PeerAddress():   brentry.NewSyncHandler(v),
		v.config.lookups:              factory.Lookups(v),
		v.config.healthChecks:         factory.Checks(v),
	}
	if v.config.metrics != "" {
		handlers[v.config.metrics] = promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	}
	for address, handler := range handlers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Errorf("listen at %s: %w", address, err)
		}
		v.listeners = append(v.listeners, listener)
		v.servers = append(v.servers, newServer(handler))
	}
	return nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		// Errors that clients cause must not fill the log.
		ErrorLog: discardLog(),
	}
}

func (v *VM) close() {
	for _, l := range v.listeners {
		_ = l.Close()
	}
}
