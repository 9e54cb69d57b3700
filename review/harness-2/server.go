package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is the interval at which servers write their entry, as in the settings.
const heartbeatInterval = 1500 * time.Millisecond

// answer is what a server sends back.
type answer struct {
	status int
	body   string
	crash  bool // the server's process dies when it begins to run the request
	prefix string
}

// handleFunc decides on the answer to a request. A server calls it when it begins to run one.
type handleFunc func(s *server, use int, request *http.Request, body []byte) answer

// server is a stand-in for a backend server. It answers one request at a time on a
// connection, refuses requests for another instance, and writes its entry to the store.
type server struct {
	id, service, address, zone string
	store                      *store
	handle                     handleFunc
	record                     *recorder
	listener                   net.Listener
	mutex                      sync.Mutex
	connections                map[net.Conn]struct{}
	ended                      chan struct{}
	endOnce                    sync.Once
	sequence                   int
	born                       int64
}

func newID() string {
	bytes := make([]byte, 5)
	_, _ = rand.Read(bytes)
	return "i-" + hex.EncodeToString(bytes)
}

func startServer(service, address, zone string, st *store, record *recorder, handle handleFunc) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{
		id: newID(), service: service, address: address, zone: zone, store: st, handle: handle, record: record, listener: listener,
		connections: map[net.Conn]struct{}{}, ended: make(chan struct{}), born: time.Now().UnixMilli(),
	}
	go s.accept()
	go s.heartbeat()
	return s, nil
}

func (s *server) heartbeat() {
	for {
		s.sequence++
		s.store.put("servers", s.id, map[string]any{
			"address": s.address, "born": s.born,
			"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "max_concurrency": 8},
			"status": map[string]any{"state": "ready", "sequence": s.sequence, "cold_remaining_s": 0},
		})
		select {
		case <-s.ended:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.connections[conn] = struct{}{}
		s.mutex.Unlock()
		go s.serve(conn)
	}
}

// crash ends the server as the death of its process does: nothing listens any more, and all
// connections are reset. The platform removes its entry after three silent heartbeats.
func (s *server) crash() {
	s.endOnce.Do(func() {
		_ = s.listener.Close()
		close(s.ended)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		for conn := range s.connections {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
		time.AfterFunc(3*heartbeatInterval, func() { s.store.remove("servers", s.id) })
	})
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for use := 1; ; use++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !s.respond(conn, use, request, body) {
			return
		}
	}
}

// respond answers one request and reports whether the connection is kept.
func (s *server) respond(conn net.Conn, use int, request *http.Request, body []byte) bool {
	id := request.Header.Get("X-Request-Id")
	if expected := request.Header.Get("X-Expected-Instance"); expected != "" && expected != s.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.id)
		return err == nil
	}
	if id == "" {
		_, err := io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	a := s.handle(s, use, request, body)
	if a.crash {
		s.crash()
		return false
	}
	text := a.prefix + head(a, id) + a.body
	_, err := io.WriteString(conn, text)
	return err == nil
}

// head returns the head of an answer.
func head(a answer, id string) string {
	return "HTTP/1.1 " + strconv.Itoa(a.status) + " " + http.StatusText(a.status) + "\r\n" +
		"X-Request-Id: " + id + "\r\n" +
		"X-Server-Stamp: " + id + "." + strconv.Itoa(a.status) + "\r\n" +
		"Content-Type: text/plain\r\n" +
		"Content-Length: " + strconv.Itoa(len(a.body)) + "\r\n\r\n"
}
