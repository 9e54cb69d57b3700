// Package brserver provides a fake backend server for tests and the demo.
//
// It runs a bounded number of requests concurrently and sheds requests that find
// no free slot. Its first requests take longer, as on a server with a cold cache.
// It counts how often each request ran.
//
// # Usage
//
//	server := brserver.New(3, 5*time.Millisecond)
//	httpServer := httptest.NewServer(server)
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
	mutex           sync.Mutex
	slots           int
	serviceTime     time.Duration
	running         int
	runs            int
	maxRunning      int
	shed            int
	runsByID        map[string]int
	runsByURI       map[string]int
	lastStart       time.Time
	requestsWithKey int
}

// New returns a cold server that runs up to slots requests concurrently, each for
// the service time.
func New(slots int, serviceTime time.Duration) *Server {
	return &Server{slots: slots, serviceTime: serviceTime, runsByID: map[string]int{}, runsByURI: map[string]int{}}
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
	return maps.Clone(s.runsByURI)
}

// LastStart returns when the newest request began to run, or the zero time.
func (s *Server) LastStart() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lastStart
}

// Slots returns the maximum number of concurrent requests.
func (s *Server) Slots() int { return s.slots }

// MaxRunning returns the highest number of requests that ran concurrently.
func (s *Server) MaxRunning() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.maxRunning
}

// Shed returns how many requests were refused because no slot was free.
func (s *Server) Shed() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.shed
}

// RequestsWithKey returns how many requests carried a caller's key.
func (s *Server) RequestsWithKey() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requestsWithKey
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
		s.requestsWithKey++
	}
	if s.running >= s.slots {
		s.shed++
		return 0, false
	}
	s.running++
	s.runs++
	s.runsByURI[r.URL.RequestURI()]++
	s.lastStart = time.Now()
	s.maxRunning = max(s.maxRunning, s.running)
	if id := r.Header.Get("X-Request-Id"); id != "" {
		s.runsByID[id]++
	}
	if s.runs <= coldRequests {
		return s.serviceTime * coldFactor, true
	}
	return s.serviceTime, true
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
