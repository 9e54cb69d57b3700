package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// run is what a server saw of one request.
type run struct {
	id, tenant, path, service, server string
	arrived                           time.Time
	ended                             time.Time
	broken                            bool // the caller's connection ended first
	failed                            bool // the server answered 500
	version                           string
}

// server is a stand-in of a back-end server. It follows PROTOCOL.md.
type server struct {
	id, service, zone, address string
	version                    string
	fails                      func() bool   // whether a run fails; nil for never
	together                   *atomic.Int64 // requests that run at the servers of its version; may be nil
	draining                   atomic.Bool
	slots                      int
	work                       func(r *http.Request) time.Duration
	record                     func(run)
	born                       int64
	running                    atomic.Int64
	free                       chan struct{}
	http                       *http.Server
}

func newServer(id, service, version, zone, ip string, slots int, work func(r *http.Request) time.Duration, record func(run)) (*server, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", id, err)
	}
	s := &server{
		id: id, service: service, version: version, zone: zone, address: listener.Addr().String(), slots: slots, work: work, record: record,
		born: time.Now().UnixMilli(), free: make(chan struct{}, slots),
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// entry returns the server's row in the store. Of its heartbeats nothing is seen: the entry
// changes only when more than its sequence changes.
func (s *server) entry() string {
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	document := map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": s.version, "zone": s.zone, "max_concurrency": s.slots},
		"status": map[string]any{"state": state, "sequence": 1, "cold_remaining_s": 0},
	}
	data, _ := json.Marshal(document)
	return string(data)
}

func (s *server) close() {
	_ = s.http.Close()
}

// ServeHTTP runs one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("X-Instance-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	ctx := r.Context()
	if left, err := strconv.Atoi(r.Header.Get("X-Request-Deadline-Ms")); err == nil {
		limited, cancel := context.WithTimeout(ctx, time.Duration(left)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	select {
	case s.free <- struct{}{}:
		defer func() { <-s.free }()
	case <-ctx.Done():
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	seen := run{id: id, tenant: r.Header.Get("X-Tenant"), path: r.URL.Path, service: s.service, version: s.version, server: s.id, arrived: time.Now()}
	if s.together != nil {
		s.together.Add(1)
		defer s.together.Add(-1)
	}
	timer := time.NewTimer(s.work(r))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		seen.broken = true
	}
	seen.ended = time.Now()
	seen.failed = !seen.broken && s.fails != nil && s.fails()
	s.record(seen)
	if seen.broken {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	header.Set("X-Server-Stamp", "3e1b.07.5a2.600.0."+s.id)
	header.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), s.slots))
	if seen.failed {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintf(w, "answer to %s\n", id)
}
