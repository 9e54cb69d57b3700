package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// link is what a proxy does to the connections that pass it.
type link struct {
	delay    time.Duration
	silentTo bool // nothing passes towards the target
	silentOf bool // nothing passes back
	refuse   bool // new connections are reset
}

// proxy is a way between two processes that can be harmed.
type proxy struct {
	listener net.Listener

	mutex   sync.Mutex
	healed  *sync.Cond
	target  string
	link    link
	conns   map[net.Conn]bool
	stopped bool
}

func newProxy(t *testing.T, listen, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", listen)
	require.NoError(t, err)
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	p.healed = sync.NewCond(&p.mutex)
	go p.accept()
	t.Cleanup(p.stop)
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// close ends all connections and takes no new ones, as the machine of a dead process does.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) set(l link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.link = l
	p.healed.Broadcast()
}

// reset ends all connections that are open.
func (p *proxy) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

func (p *proxy) stop() {
	_ = p.listener.Close()
	p.mutex.Lock()
	p.stopped = true
	p.healed.Broadcast()
	p.mutex.Unlock()
	p.reset()
}

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mutex.Lock()
		refuse, target := p.link.refuse, p.target
		p.mutex.Unlock()
		if refuse {
			abort(caller)
			continue
		}
		go p.join(caller, target)
	}
}

func (p *proxy) join(caller net.Conn, target string) {
	callee, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		abort(caller)
		return
	}
	p.mutex.Lock()
	p.conns[caller], p.conns[callee] = true, true
	p.mutex.Unlock()
	wait := sync.WaitGroup{}
	wait.Go(func() { p.pass(callee, caller, func(l link) bool { return l.silentTo }) })
	wait.Go(func() { p.pass(caller, callee, func(l link) bool { return l.silentOf }) })
	wait.Wait()
	_ = caller.Close()
	_ = callee.Close()
	p.mutex.Lock()
	delete(p.conns, caller)
	delete(p.conns, callee)
	p.mutex.Unlock()
}

// pass copies one way, as the link allows, and hands on how the way ends.
func (p *proxy) pass(to, from net.Conn, silent func(link) bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !p.await(silent) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				abort(from)
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			abort(to)
			return
		}
	}
}

// await waits until bytes may pass; it is false if none ever will.
func (p *proxy) await(silent func(link) bool) bool {
	p.mutex.Lock()
	delay := p.link.delay
	for silent(p.link) && !p.stopped {
		p.healed.Wait()
	}
	stopped := p.stopped
	p.mutex.Unlock()
	time.Sleep(delay)
	return !stopped
}
