package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/peer/brnetwork"
)

// link is the state of a proxy: which faults it injects into its connections. The
// zero value injects none.
type link struct {
	delay         time.Duration
	stallForward  bool // data to the target is withheld
	stallBackward bool // data from the target is withheld
	refuse        bool // new connections are reset
}

// proxy is a TCP proxy between two processes that can inject network faults.
type proxy struct {
	listener net.Listener

	mutex       sync.Mutex
	linkChanged *sync.Cond
	target      string
	link        link
	conns       map[net.Conn]bool
	stopped     bool
}

func newProxy(t *testing.T, listen, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", listen)
	require.NoError(t, err)
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	p.linkChanged = sync.NewCond(&p.mutex)
	go p.accept()
	t.Cleanup(p.stop)
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// close resets all connections and refuses new ones, as the host of a process that has
// crashed does.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) set(l link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.link = l
	p.linkChanged.Broadcast()
}

// reset aborts all open connections.
func (p *proxy) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

// stop closes the proxy and ends all copying of data.
func (p *proxy) stop() {
	_ = p.listener.Close()
	p.mutex.Lock()
	p.stopped = true
	p.linkChanged.Broadcast()
	p.mutex.Unlock()
	p.reset()
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		downstream, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mutex.Lock()
		refuse, target := p.link.refuse, p.target
		p.mutex.Unlock()
		if refuse {
			abort(downstream)
			continue
		}
		go p.relay(downstream, target)
	}
}

func (p *proxy) relay(downstream net.Conn, target string) {
	upstream, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		abort(downstream)
		return
	}
	p.mutex.Lock()
	p.conns[downstream], p.conns[upstream] = true, true
	p.mutex.Unlock()
	caller, server := newProxyEnd(downstream), newProxyEnd(upstream)
	wait := sync.WaitGroup{}
	wait.Go(func() { p.copyOneWay(server, caller, func(l link) bool { return l.stallForward }) })
	wait.Go(func() { p.copyOneWay(caller, server, func(l link) bool { return l.stallBackward }) })
	wait.Wait()
	_ = downstream.Close()
	_ = upstream.Close()
	p.mutex.Lock()
	delete(p.conns, downstream)
	delete(p.conns, upstream)
	p.mutex.Unlock()
}

// proxyEnd is one of the two connections of a proxy.
type proxyEnd struct {
	conn   net.Conn
	stream net.Conn // reads and writes; a reset is no regular end of it
}

func newProxyEnd(conn net.Conn) proxyEnd {
	return proxyEnd{conn: conn, stream: brnetwork.WithResetDetection(conn)}
}

// copyOneWay copies data in one direction as the link allows. It passes on the end of the
// stream as a half-close and an error as a reset.
func (p *proxy) copyOneWay(to, from proxyEnd, stalled func(link) bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.stream.Read(buffer)
		if !p.waitUntilOpen(stalled) {
			return
		}
		if n > 0 {
			if _, err := to.stream.Write(buffer[:n]); err != nil {
				abort(from.conn)
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.conn.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			abort(to.conn)
			return
		}
	}
}

// waitUntilOpen waits until the link does not stall the data, then for the delay of the
// link. It returns false if the proxy has stopped.
func (p *proxy) waitUntilOpen(stalled func(link) bool) bool {
	p.mutex.Lock()
	delay := p.link.delay
	for stalled(p.link) && !p.stopped {
		p.linkChanged.Wait()
	}
	stopped := p.stopped
	p.mutex.Unlock()
	time.Sleep(delay)
	return !stopped
}
