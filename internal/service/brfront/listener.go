package brfront

import (
	"net"
	"net/netip"
	"sync"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/decide/brconnection"
)

// listener closes connections beyond the limits as soon as they are accepted.
type listener struct {
	net.Listener
	mutex   sync.Mutex
	limiter *brconnection.Limiter
	refused int
	ahead   aheadBudget
}

func newListener(inner net.Listener, limit, limitPerAddress int) *listener {
	return &listener{Listener: inner, limiter: brconnection.NewLimiter(limit, limitPerAddress)}
}

// Accept returns the next connection within the limits.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, errors.Errorf("accept: %w", err)
		}
		client := addressOf(accepted)
		if l.acquire(client) {
			return newConnection(accepted, &l.ahead, func() { l.release(client) }), nil
		}
		_ = accepted.Close()
	}
}

// counts returns the number of open connections and of those refused so far.
func (l *listener) counts() (open, refused int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.limiter.Total(), l.refused
}

func (l *listener) acquire(client netip.Addr) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	acquired := l.limiter.Acquire(client)
	if !acquired {
		l.refused++
	}
	return acquired
}

func (l *listener) release(client netip.Addr) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.limiter.Release(client)
}

func addressOf(accepted net.Conn) netip.Addr {
	address, err := netip.ParseAddrPort(accepted.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr()
}
