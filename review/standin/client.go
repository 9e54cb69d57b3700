package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	host   = "jepu9.example"
	apiKey = "tnfzs989anu6wsjnbanf"
)

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout, objective          float64 // seconds
}

// configure writes a configuration with the routes and one tenant without a limit.
func (d *deployment) configure(routes ...route) {
	resources := []any{}
	for _, r := range routes {
		resources = append(resources,
			map[string]any{"entry_kind": "routes", "metadata": map[string]any{"name": r.name}, "spec": map[string]any{
				"host": host, "prefix": r.prefix, "type": r.kind, "timeout_s": r.timeout, "target_latency_s": r.objective,
				"priority": 1, "service": r.service, "max_attempts": 2, "public": false, "session_affinity": false, "allowed_regions": []string{},
			}},
			map[string]any{"entry_kind": "services", "metadata": map[string]any{"name": r.service}, "spec": map[string]any{
				"health_check_path": "/health", "max_connections": 390, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 2.6,
			}})
	}
	resources = append(resources,
		map[string]any{"entry_kind": "tenants", "metadata": map[string]any{"name": "yefi830"}, "spec": map[string]any{
			"api_keys": []string{apiKey}, "priority": 0, "rate_per_s": 0, "burst": 0, "allowed_regions": []string{},
		}},
		map[string]any{"entry_kind": "limits", "metadata": map[string]any{}, "spec": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15,
		}})
	d.store.put("op", "config", map[string]any{"version": "00000007", "resources": resources})
}

// answer is what a client got. The status is 0 if there was no complete answer.
type answer struct {
	status     int
	stamp      string
	retryAfter string
}

func (a answer) served() bool { return a.status == http.StatusOK && a.stamp != "" }

// get sends a request on a new connection. It leaves after patience, by closing the
// connection, if that is shorter than the deadline.
func get(address, path, id string, deadline, patience time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), min(deadline, patience))
	defer cancel()
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return answer{}
	}
	defer func() { _ = conn.Close() }()
	until, _ := ctx.Deadline()
	_ = conn.SetDeadline(until)
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Affinity-Key: 17\r\nX-Request-Deadline-Ms: %d\r\nX-Credential: %s\r\n\r\n",
		path, host, id, deadline.Milliseconds(), apiKey)
	if err != nil {
		return answer{}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return answer{}
	}
	return answer{status: response.StatusCode, stamp: response.Header.Get("X-Server-Stamp"), retryAfter: response.Header.Get("Retry-After")}
}
