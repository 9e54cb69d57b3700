package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	garbleRequests = 640
	// garbleEvery is the number of answers of the faulty server for each one that it sends
	// twice: 2 in 100.
	garbleEvery = 50
)

// cuts are the places at which the second copies of answers break off, in bytes. The first
// line of an answer is "HTTP/1.1 200 OK".
var cuts = []int{len("HTTP/1.1 200 OK"), len("HTTP/1.1 200 OK\r\nX-Requ"), len("HTTP/1.1 200 O"), len("HTTP/1.1 2"), len("HTTP/1.1 200 OK"), 1 << 20}

// garbler is a server that sends some answers twice: the second copy breaks off and arrives
// where the next answer on the connection is expected. It answers the request that comes next
// with a 500.
type garbler struct {
	mutex   sync.Mutex
	answers int
	copies  int
	pending map[string]string // second copy due on a connection, by the request before
	given   map[string]int    // status that servers gave, by request
}

// answer answers a request. A connection carries one request at a time, and callers send one
// after the other, so the previous request at this server came on the same connection.
func (g *garbler) answer(faulty, trouble bool, s *server, use int, request *http.Request, previous *string) answer {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	id := request.Header.Get("X-Request-Id")
	a := answer{status: http.StatusOK, body: "booked " + id + "\n"}
	if faulty {
		g.answers++
		if second, ok := g.pending[*previous]; ok && use > 1 {
			delete(g.pending, *previous)
			a.status, a.body = http.StatusInternalServerError, "not booked "+id+"\n"
			if trouble {
				a.prefix = second
				s.record.note("server %s sends %q where the answer to %s is due", s.id, firstLine(second), id)
			}
		} else if g.answers%garbleEvery == 0 {
			whole := head(a, id) + a.body
			g.pending[id] = whole[:min(cuts[g.copies%len(cuts)], len(whole))]
			g.copies++
		}
		*previous = id
	}
	g.given[id] = a.status
	s.record.note("server %s runs %s on use %d of the connection and answers %d", s.id, id, use, a.status)
	return a
}

func firstLine(text string) string {
	if len(text) > 60 {
		return text[:60] + "..."
	}
	return text
}

// runGarble shows MIXED: a caller gets a success although the server answered with a failure.
func runGarble(d *deployment, trouble bool) (bool, error) {
	g := &garbler{pending: map[string]string{}, given: map[string]int{}}
	for i := range 2 {
		previous := ""
		handle := func(s *server, use int, request *http.Request, _ []byte) answer {
			return g.answer(i == 0, trouble, s, use, request, &previous)
		}
		if _, err := startServer("ledger", d.serverAddress(i+1), zones[i], d.store, d.record, handle); err != nil {
			return false, err
		}
	}
	d.store.put("op", "config", configuration("unsafe", "ledger", "/book/", 2))
	if err := d.startVMs(2); err != nil {
		return false, err
	}
	callers := client(true)
	broken := false
	for i := range garbleRequests {
		id := fmt.Sprintf("b%015x", i+1)
		request, err := newRequest(http.MethodPost, "http://"+d.address(1, frontendPort)+"/book/entry", id, "amount=1")
		if err != nil {
			return false, err
		}
		response, err := callers.Do(request)
		if err != nil {
			d.record.note("caller gets no answer to %s: %v", id, err)
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		g.mutex.Lock()
		given, ran := g.given[id]
		g.mutex.Unlock()
		d.record.note("caller gets %d for %s, stamp %q, body %q, error %v", response.StatusCode, id, response.Header.Get("X-Server-Stamp"), string(body), err)
		if response.StatusCode/100 == 2 && ran && given/100 != 2 {
			d.record.note("MIXED: the caller gets %d for %s, which the server answered with %d", response.StatusCode, id, given)
			broken = true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return broken, nil
}

// newRequest returns a caller's request.
func newRequest(method, url, id, body string) (*http.Request, error) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = "books.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Request-Deadline-Ms", "4000")
	request.Header.Set("X-Credential", "tnfzs989anu6wsjnbanf")
	return request, nil
}

// entryPrefix is the prefix of an unsafe route that each configuration has.
const entryPrefix = "/entry/"

// configuration returns the operator's configuration with one service, one tenant, a route of
// the given kind and one of unsafe requests.
func configuration(kind, service, prefix string, attempts int) map[string]any {
	entry := func(kind, name string, spec map[string]any) map[string]any {
		return map[string]any{"entry_kind": kind, "metadata": map[string]any{"name": name}, "spec": spec}
	}
	route := func(name, kind, prefix string) map[string]any {
		return entry("routes", name, map[string]any{
			"host": "books.example", "prefix": prefix, "type": kind, "timeout_s": 4, "target_latency_s": 0.6, "priority": 1,
			"service": service, "max_attempts": attempts, "public": false, "session_affinity": false, "allowed_regions": []any{},
		})
	}
	return map[string]any{"version": "00000007", "resources": []any{
		route("r-1", kind, prefix),
		route("r-2", "unsafe", entryPrefix),
		entry("services", service, map[string]any{
			"health_check_path": "/health", "max_connections": 390, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 2.6,
		}),
		entry("tenants", "yefi830", map[string]any{"api_keys": []any{"tnfzs989anu6wsjnbanf"}, "priority": 1, "rate_per_s": 0, "burst": 0, "allowed_regions": []any{}}),
		entry("limits", "limits", map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_s": 3, "idle_timeout_s": 10}),
	}}
}
