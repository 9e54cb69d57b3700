package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// clientDelay is the time that bytes take between a client and a machine, one way, as on the
// deployment's sheet.
const clientDelay = 8 * time.Millisecond

// resetProbe is how long the peer's reset takes on loopback after bytes came to a closed socket.
const resetProbe = time.Millisecond

// delayProxy passes bytes, ends and resets on between clients and a machine, each after
// clientDelay.
type delayProxy struct {
	listener net.Listener
	target   string
}

func newDelayProxy(ip, target string) (*delayProxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("listen for proxy: %w", err)
	}
	p := &delayProxy{listener: listener, target: target}
	go p.serve()
	return p, nil
}

func (p *delayProxy) address() string { return p.listener.Addr().String() }

func (p *delayProxy) close() { _ = p.listener.Close() }

func (p *delayProxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(client.(*net.TCPConn))
	}
}

// parcel is what one read gave.
type parcel struct {
	at   time.Time
	data []byte
	err  error
}

func (p *delayProxy) pass(client *net.TCPConn) {
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	machine := conn.(*net.TCPConn)
	ended := &atomic.Bool{} // the client has sent its end
	group := sync.WaitGroup{}
	group.Go(func() {
		forward(machine, receive(client), func() { ended.Store(true) }, func() bool { return false })
	})
	group.Go(func() {
		if forward(client, receive(machine), func() {}, func() bool { return ended.Load() && isReset(client) }) {
			time.Sleep(clientDelay)
			reset(machine)
		}
	})
	group.Wait()
	_ = client.Close()
	_ = machine.Close()
}

// receive reads a connection to its end.
func receive(source *net.TCPConn) <-chan parcel {
	parcels := make(chan parcel, 1024)
	go func() {
		defer close(parcels)
		for {
			data := make([]byte, 16<<10)
			n, err := source.Read(data)
			parcels <- parcel{at: time.Now(), data: data[:n], err: err}
			if err != nil {
				return
			}
		}
	}()
	return parcels
}

// forward writes parcels to a connection after clientDelay. It ends early and reports true if the
// target has answered a write with a reset.
func forward(target *net.TCPConn, parcels <-chan parcel, onEnd func(), wasReset func() bool) bool {
	for p := range parcels {
		time.Sleep(time.Until(p.at.Add(clientDelay)))
		if len(p.data) > 0 {
			if _, err := target.Write(p.data); err != nil || wasReset() {
				return true
			}
		}
		switch {
		case errors.Is(p.err, io.EOF):
			onEnd()
			_ = target.CloseWrite()
		case p.err != nil:
			reset(target)
		}
	}
	return false
}

// isReset reports whether the peer of a connection that has ended has reset it since.
func isReset(conn *net.TCPConn) bool {
	time.Sleep(resetProbe)
	_ = conn.SetReadDeadline(time.Now().Add(resetProbe))
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, io.EOF)
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
