// Package brfaultserver provides a fake backend server that closes its connection at a
// chosen point of each request, for tests of how broken connections are handled. It
// counts the requests of which at least one byte arrived.
//
// # Usage
//
//	server, err := brfaultserver.Start(brfaultserver.CloseInResponseHeader, brfaultserver.CompleteResponse)
//	defer server.Close()
//	requests := server.Requests()
package brfaultserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
)

// Point is a point of a request at which the server closes the connection, or a response
// after which it does not.
type Point int

// The points at which the server closes the connection, in the order in which a
// request reaches them, and complete responses.
const (
	// CloseUnread closes the connection without reading the request.
	CloseUnread Point = iota
	// CloseInRequestHeader closes while the request header is being read.
	CloseInRequestHeader
	// CloseBeforeResponse closes after reading the whole request, without a response.
	CloseBeforeResponse
	// CloseInResponseHeader closes in the middle of the response header.
	CloseInResponseHeader
	// CloseInBody closes in the middle of a response body with a Content-Length.
	CloseInBody
	// CloseInChunk closes in the middle of a chunked response body.
	CloseInChunk
	// BodyWithoutLength sends a response body without a length, which ends when the
	// connection is closed.
	BodyWithoutLength
	// Shed refuses the request without running it and keeps the connection.
	Shed
	// CompleteResponse sends a complete response and keeps the connection.
	CompleteResponse
	// CloseUnannounced sends a complete response and closes without announcing it by
	// Connection: close.
	CloseUnannounced
	// PointCount is the number of points.
	PointCount
)

// responses holds the bytes that are written at each point. Points without an entry
// write none.
var responses = map[Point]string{
	CloseInResponseHeader: "HTTP/1.1 200 OK\r\nContent-Le",
	CloseInBody:           "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
	CloseInChunk:          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	BodyWithoutLength:     "HTTP/1.0 200 OK\r\n\r\nhalf",
	Shed:                  "HTTP/1.1 503 Service Unavailable\r\nBergamotroad-Shed: 1\r\nContent-Length: 0\r\n\r\n",
	CompleteResponse:      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nBergamotroad-Fate: not-run\r\n\r\nwhole",
	CloseUnannounced:      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
}

// Server is the fake backend server. It identifies requests by X-Request-Id.
type Server struct {
	listener net.Listener
	mutex    sync.Mutex
	points   []Point
	requests int
	runs     map[string]int
}

// Start starts a server that listens on a free local port. The given points apply to
// successive requests, and the last one to all further requests.
func Start(points ...Point) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{listener: listener, points: points, runs: map[string]int{}}
	go s.accept()
	return s, nil
}

// Address returns the host:port on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops listening. Open connections stay open.
func (s *Server) Close() { _ = s.listener.Close() }

// Requests returns the number of requests of which at least one byte arrived.
func (s *Server) Requests() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests
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
	for s.serveRequest(connection, reader) {
	}
}

// serveRequest handles one request and reports whether the connection stays open.
func (s *Server) serveRequest(connection net.Conn, reader *bufio.Reader) bool {
	if _, err := reader.Peek(1); err != nil {
		return false
	}
	point := s.nextPoint()
	if point == CloseUnread {
		return false
	}
	if point == CloseInRequestHeader {
		_, _ = reader.ReadString('\n')
		return false
	}
	id, err := readRequest(reader)
	if err != nil {
		return false
	}
	s.count(id, point)
	_, _ = io.WriteString(connection, responses[point])
	return point == CompleteResponse || point == Shed
}

func (s *Server) nextPoint() Point {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.requests++
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

// readRequest reads a request and returns its identifier. The body must have a
// Content-Length or be absent.
func readRequest(reader *bufio.Reader) (string, error) {
	id := ""
	length := int64(0)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return "", fmt.Errorf("read header: %w", err)
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
