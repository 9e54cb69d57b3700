// Package brrawserver provides a fake backend server on raw connections, for responses that
// net/http's server doesn't write: malformed, truncated, without end, or reset.
//
// # Usage
//
//	server, err := brrawserver.Start(func(conn *brrawserver.Conn) {
//		request, err := conn.ReadRequest()
//		...
//		conn.Reset()
//	})
//	defer server.Close()
package brrawserver

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// Handler serves one connection. The connection is closed when it returns.
type Handler func(conn *Conn)

// Conn is a connection to the server.
type Conn struct {
	net.Conn
	reader *bufio.Reader
}

// Read reads what follows the requests that ReadRequest has returned.
func (c *Conn) Read(data []byte) (int, error) { return c.reader.Read(data) }

// ReadRequest reads the head of the next request. Its body is read as the caller reads it.
func (c *Conn) ReadRequest() (*http.Request, error) { return http.ReadRequest(c.reader) }

// Reset closes the connection with a reset, so that the client loses what it has not received
// and sees no regular end of the stream.
func (c *Conn) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Server is the fake backend server.
type Server struct {
	listener net.Listener
	handle   Handler
	mutex    sync.Mutex
	open     map[net.Conn]struct{}
	closed   bool
	running  sync.WaitGroup
}

// Start starts a server that listens on a free local port.
func Start(handle Handler) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{listener: listener, handle: handle, open: map[net.Conn]struct{}{}}
	s.running.Go(s.accept)
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close stops listening, closes all connections and waits until their handlers have returned.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mutex.Lock()
	s.closed = true
	for conn := range s.open {
		_ = conn.Close()
	}
	s.mutex.Unlock()
	s.running.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.add(conn) {
			s.running.Go(func() { s.serve(conn) })
		}
	}
}

func (s *Server) serve(conn net.Conn) {
	defer s.remove(conn)
	s.handle(&Conn{Conn: conn, reader: bufio.NewReader(conn)})
}

func (s *Server) add(conn net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.open[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	_ = conn.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, conn)
}
