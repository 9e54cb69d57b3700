// Package brbreaking provides a stand-in of a backend server that breaks its
// connections at a chosen point of each request, and counts the
// requests of which bytes arrived.
//
// # Usage
//
//	server, err := brbreaking.Start(brbreaking.Midhead, brbreaking.Whole)
//	defer server.Close()
//	begun := server.Begun()
package brbreaking

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
)

// Point says where a connection breaks.
type Point int

// The points at which a connection breaks, in the order of a request's way.
const (
	// Unread closes after accepting, without reading.
	Unread Point = iota
	// Midrequest closes in the middle of the request's head.
	Midrequest
	// Unanswered closes after the whole request.
	Unanswered
	// Midhead closes in the middle of the answer's head.
	Midhead
	// Midbody closes in the middle of a body of known length.
	Midbody
	// Midchunk closes in the middle of a chunked body.
	Midchunk
	// Unmarked ends the body by closing, without a length.
	Unmarked
	// Shed refuses the request before running it.
	Shed
	// Whole answers and keeps the connection.
	Whole
	// Idle answers and closes without saying so.
	Idle
	// Points is the number of points.
	Points
)

// answers are what is written before the connection breaks.
var answers = map[Point]string{
	Midhead:  "HTTP/1.1 200 OK\r\nContent-Le",
	Midbody:  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
	Midchunk: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	Unmarked: "HTTP/1.0 200 OK\r\n\r\nhalf",
	Shed:     "HTTP/1.1 503 Service Unavailable\r\nBergamotroad-Shed: 1\r\nContent-Length: 0\r\n\r\n",
	Whole:    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nBergamotroad-Fate: not-run\r\n\r\nwhole",
	Idle:     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
}

// Server is a breaking server. Requests carry their identifier in X-Request-Id.
type Server struct {
	listener net.Listener
	mutex    sync.Mutex
	points   []Point
	begun    int
	runs     map[string]int
}

// Start returns a server that listens on a free local port and breaks the
// requests that reach it at the points in turn, the later ones at the last.
func Start(points ...Point) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{listener: listener, points: points, runs: map[string]int{}}
	go s.accept()
	return s, nil
}

// Address returns host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops listening.
func (s *Server) Close() { _ = s.listener.Close() }

// Begun returns of how many requests at least one byte arrived.
func (s *Server) Begun() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.begun
}

// Runs returns how often a request ran.
func (s *Server) Runs(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[id]
}

func (s *Server) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(connection)
	}
}

func (s *Server) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for s.answer(connection, reader) {
	}
}

// answer handles one request and reports whether the connection stays open.
func (s *Server) answer(connection net.Conn, reader *bufio.Reader) bool {
	if _, err := reader.Peek(1); err != nil {
		return false
	}
	point := s.next()
	if point == Unread {
		return false
	}
	if point == Midrequest {
		_, _ = reader.ReadString('\n')
		return false
	}
	id, err := readRequest(reader)
	if err != nil {
		return false
	}
	s.count(id, point)
	_, _ = io.WriteString(connection, answers[point])
	return point == Whole || point == Shed
}

func (s *Server) next() Point {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.begun++
	point := s.points[0]
	if len(s.points) > 1 {
		s.points = s.points[1:]
	}
	return point
}

func (s *Server) count(id string, point Point) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if point != Shed {
		s.runs[id]++
	}
}

// readRequest reads a request without a body, or with one of the length that it states.
func readRequest(reader *bufio.Reader) (string, error) {
	id := ""
	length := int64(0)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return "", fmt.Errorf("read head: %w", err)
		}
		line = strings.TrimSpace(line)
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		switch strings.ToLower(name) {
		case "x-request-id":
			id = strings.TrimSpace(value)
		case "content-length":
			_, _ = fmt.Sscan(value, &length)
		}
	}
	if _, err := io.CopyN(io.Discard, reader, length); err != nil {
		return "", fmt.Errorf("read body: %w", err)
	}
	return id, nil
}
