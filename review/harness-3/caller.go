package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// result is what a client saw of one request.
type result struct {
	id, machine, key, path string
	sent                   time.Time
	status                 int // 0 without an answer
	stamp, body            string
}

// caller sends requests to a machine, each on a connection of a kept pool.
type caller struct {
	client *http.Client
	next   atomic.Int64
}

func newCaller() *caller {
	return &caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}}
}

// send sends a request with a deadline and returns what became of it.
func (c *caller) send(m *machine, method, path, key string, deadline time.Duration) result {
	id := fmt.Sprintf("%016x", 0x1c41d07b00000000+c.next.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+m.address(portFrontend)+path, http.NoBody)
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("X-Credential", key)
	res := result{id: id, machine: m.name, key: key, path: path, sent: time.Now()}
	response, err := c.client.Do(r)
	if err != nil {
		return res
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return res
	}
	res.status, res.stamp, res.body = response.StatusCode, response.Header.Get("X-Server-Stamp"), strings.TrimSpace(string(data))
	return res
}

// every calls work at an interval until stop is closed, each time on a goroutine of its own.
func every(interval time.Duration, stop <-chan struct{}, group *sync.WaitGroup, work func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			group.Go(work)
		}
	}
}
