package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	slots      = 3
	queueSlots = 9
)

// backend is a sound server: it runs requests in its slots, queues a few more and rejects
// the rest.
type backend struct {
	id, service, address string
	work                 time.Duration
	server               *http.Server
	slots, places        chan struct{}
	sequence             int
	runs                 atomic.Int64
}

// startBackend starts a server at a free port and registers it.
func (d *deployment) startBackend(id, service string, work time.Duration) (*backend, error) {
	listener, err := net.Listen("tcp", d.prefix+"1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		id: id, service: service, address: listener.Addr().String(), work: work,
		slots: make(chan struct{}, slots), places: make(chan struct{}, slots+queueSlots),
	}
	b.server = &http.Server{Handler: b}
	d.servers = append(d.servers, b.server)
	go func() { _ = b.server.Serve(listener) }()
	d.register(b)
	d.log.printf("server %s of %s at %s is ready", id, service, b.address)
	return b, nil
}

// register writes the server's entry.
func (d *deployment) register(b *backend) {
	b.sequence++
	d.store.put("servers", b.id, map[string]any{
		"address": b.address, "born": d.log.start.UnixMilli(),
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": "n-a", "max_concurrency": slots},
		"status": map[string]any{"state": "ready", "sequence": b.sequence, "cold_remaining_s": 0},
	})
}

// ServeHTTP runs one request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != b.id {
		w.Header().Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	milliseconds, _ := strconv.Atoi(r.Header.Get("X-Request-Deadline-Ms"))
	deadline := time.After(time.Duration(milliseconds) * time.Millisecond)
	select {
	case b.places <- struct{}{}:
		defer func() { <-b.places }()
	default:
		b.reject(w)
		return
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-r.Context().Done():
		return
	case <-deadline:
		b.reject(w)
		return
	}
	b.run(w, r, id)
}

func (b *backend) reject(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("X-Server-Load", b.load())
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (b *backend) load() string {
	return fmt.Sprintf("%d,%d,%d", len(b.slots), max(len(b.places)-len(b.slots), 0), slots)
}

func (b *backend) run(w http.ResponseWriter, r *http.Request, id string) {
	b.runs.Add(1)
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	body := "answer to " + id
	w.Header().Set("X-Server-Stamp", b.id+"."+id)
	w.Header().Set("X-Server-Load", b.load())
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}
