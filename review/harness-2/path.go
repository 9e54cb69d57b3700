package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// paths are sent by a caller that escapes no more than browsers do. The last one needs no
// escaping.
var paths = []string{"/look/a|b", "/look/a%2fb|c", "/look/a%2fb"}

// runPath shows UNASKED without any disruption: servers run requests with a changed path.
func runPath(d *deployment, trouble bool) (bool, error) {
	mutex, ran := sync.Mutex{}, ""
	handle := func(_ *server, _ int, request *http.Request, _ []byte) answer {
		mutex.Lock()
		defer mutex.Unlock()
		ran = request.RequestURI
		return answer{status: http.StatusOK, body: "found\n"}
	}
	if _, err := startServer("lookup", d.serverAddress(1), zones[0], d.store, d.record, handle); err != nil {
		return false, err
	}
	d.store.put("op", "config", configuration("safe", "lookup", "/look/", 2))
	if err := d.startVMs(1); err != nil {
		return false, err
	}
	broken := false
	for i, path := range paths {
		if !trouble && i < len(paths)-1 {
			continue
		}
		status, err := sendPath(d.address(1, frontendPort), path)
		if err != nil {
			return false, err
		}
		mutex.Lock()
		d.record.note("caller sends %q and gets %d; the server runs %q", path, status, ran)
		broken = broken || ran != path
		mutex.Unlock()
	}
	return broken, nil
}

// sendPath sends a request whose path is written as it stands, and returns the status.
func sendPath(address, path string) (int, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: books.example\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Request-Deadline-Ms: 3000\r\nX-Credential: tnfzs989anu6wsjnbanf\r\n\r\n", path)
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, nil
}
