// Package brserver provides a fake backend server for tests and the demo.
//
// It runs a bounded number of requests concurrently and sheds requests that find
// no free slot. Its first requests take longer, as on a server with a cold cache.
// It counts how often each request ran.
//
// # Usage
//
//	server := brserver.New(3, 5*time.Millisecond)
//	front := httptest.NewServer(server)
//	runs := server.Runs()
package brserver

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// coldRequests is the number of requests that run slowly after the start.
const coldRequests = 20

// coldFactor is the factor by which the service time of those requests is longer.
const coldFactor = 4

// Server is a fake backend server. It is an http.Handler.
type Server struct {
	mutex   sync.Mutex
	slots   int
	service time.Duration
	running int
	runs    int
	most    int
	shed    int
	byID    map[string]int
	byURI   map[string]int
	last    time.Time
	keys    int
}

// New returns a cold server that runs up to slots requests concurrently, each for
// the service time.
func New(slots int, service time.Duration) *Server {
	return &Server{slots: slots, service: service, byID: map[string]int{}, byURI: map[string]int{}}
}

// Runs returns how many requests have run.
func (s *Server) Runs() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs
}

// RunsByURI returns how often each request URI has run.
func (s *Server) RunsByURI() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.byURI)
}

// LastStart returns when the newest request began to run, or the zero time.
func (s *Server) LastStart() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.last
}

// Slots returns the maximum number of concurrent requests.
func (s *Server) Slots() int { return s.slots }

// MostAtOnce returns the highest number of requests that ran concurrently.
func (s *Server) MostAtOnce() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.most
}

// Shed returns how many requests were refused because no slot was free.
func (s *Server) Shed() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.shed
}

// KeysSeen returns how many requests carried a caller's key.
func (s *Server) KeysSeen() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.keys
}

// ServeHTTP runs a request, or sheds it with status 503 if no slot is free.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	delay, ok := s.start(r)
	if !ok {
		w.Header().Set("Bergamotroad-Shed", "1")
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	defer s.finish()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	sleep(r, delay)
	_, _ = fmt.Fprintf(w, "%s %s %d bytes", r.Method, r.URL.RequestURI(), len(body))
}

func (s *Server) start(r *http.Request) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if r.Header.Get("Authorization") != "" {
		s.keys++
	}
	if s.running >= s.slots {
		s.shed++
		return 0, false
	}
	s.running++
	s.runs++
	s.byURI[r.URL.RequestURI()]++
	s.last = time.Now()
	s.most = max(s.most, s.running)
	if id := r.Header.Get("X-Request-Id"); id != "" {
		s.byID[id]++
	}
	if s.runs <= coldRequests {
		return s.service * coldFactor, true
	}
	return s.service, true
}

func (s *Server) finish() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
}

func sleep(r *http.Request, delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}
