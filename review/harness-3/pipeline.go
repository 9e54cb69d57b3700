package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// The times of the case.
const (
	pipelineWork     = 3200 * time.Millisecond // of the first request of a client
	pipelineDeadline = 20 * time.Second
	// pipelineLeave is when a client leaves: give_up within x = 1500 ms.
	pipelineLeave = 1500 * time.Millisecond
	// pipelineShare is one in so many clients that leave: give_up with share = 0.3.
	pipelineShare = 0.3
	pipelineStart = 4 * time.Second // machines and store are calm for contact_s
	pipelineEnd   = 40 * time.Second
	// pipelineGrace is the half second of the rule.
	pipelineGrace = 500 * time.Millisecond
	pipelineAhead = 3 // requests that a client sends before the first is answered
	pipelineGap   = 100 * time.Millisecond
)

// departures holds when the clients of requests closed their connections.
type departures struct {
	mutex sync.Mutex
	at    map[string]time.Time
}

func (d *departures) add(ids []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, id := range ids {
		d.at[id] = time.Now()
	}
}

// pipeline shows what becomes of safe requests that were sent behind another one when their
// client leaves.
func pipeline(d *deployment, rec *record, trouble bool) (bool, error) {
	mutex, runs := sync.Mutex{}, []run{}
	work := func(*http.Request) time.Duration { return pipelineWork }
	note := func(r run) {
		mutex.Lock()
		defer mutex.Unlock()
		runs = append(runs, r)
		rec.line("run %s server=%s from=%.3f to=%.3f broken_off=%v", r.id, r.server, r.arrived.Sub(rec.start).Seconds(), r.ended.Sub(rec.start).Seconds(), r.broken)
	}
	routes := []route{{name: "r-6sz9frg", prefix: "/lepu270/", service: serviceOld, safe: true, timeout: 6}}
	d.store.put("op", "config", configuration(1, routes, []tenant{{"yefi830", []string{keyFirst}}}))
	if err := d.addServers(serviceOld, 24, 6, work, note); err != nil {
		return false, err
	}
	if err := d.addMachines(3, 2); err != nil {
		return false, err
	}
	if err := d.waitReady(8 * time.Second); err != nil {
		return false, err
	}
	rec.say("%d machines are ready", len(d.machines))
	proxies := []*delayProxy{}
	for _, m := range d.machines {
		proxy, err := newDelayProxy(d.prefix+".240", m.address(portFrontend))
		if err != nil {
			return false, err
		}
		defer proxy.close()
		proxies = append(proxies, proxy)
	}
	sleepUntil(rec.start.Add(pipelineStart))
	left := &departures{at: map[string]time.Time{}}
	group, stop := sync.WaitGroup{}, make(chan struct{})
	next := 0
	group.Go(func() {
		every(200*time.Millisecond, stop, &group, func() {
			mutex.Lock()
			number := next
			next++
			mutex.Unlock()
			leaves := trouble && int(float64(number+1)*pipelineShare) > int(float64(number)*pipelineShare)
			pipelineClient(proxies[number%len(proxies)].address(), rec, left, number, leaves)
		})
	})
	sleepUntil(rec.start.Add(pipelineEnd - pipelineDeadline/2))
	close(stop)
	sleepUntil(rec.start.Add(pipelineEnd))
	group.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	return pipelineVerdict(rec, runs, left), nil
}

// pipelineClient sends requests one after the other on one connection, and reads the answers or
// leaves.
func pipelineClient(address string, rec *record, left *departures, number int, leaves bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		rec.line("client %d: %v", number, err)
		return
	}
	defer func() { _ = conn.Close() }()
	ids := []string{}
	for i := range pipelineAhead {
		id := fmt.Sprintf("%08x%08x", number, i)
		ids = append(ids, id)
		text := fmt.Sprintf("GET /lepu270/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline-Ms: %d\r\nX-Credential: %s\r\n\r\n",
			number, host, id, pipelineDeadline.Milliseconds(), keyFirst)
		if _, err := io.WriteString(conn, text); err != nil {
			rec.line("client %d: %v", number, err)
			return
		}
		time.Sleep(pipelineGap)
	}
	rec.line("sent %v to=%s leaves=%v", ids, address, leaves)
	if leaves {
		time.Sleep(pipelineLeave - pipelineAhead*pipelineGap)
		_ = conn.Close()
		left.add(ids)
		rec.line("left %v", ids)
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(pipelineDeadline))
	reader := bufio.NewReader(conn)
	for _, id := range ids {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			rec.line("answer %s: %v", id, err)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		rec.line("answer %s status=%d of=%s", id, response.StatusCode, response.Header.Get("X-Request-Id"))
		if response.Close {
			return
		}
	}
}

// pipelineVerdict checks the rule GONE and reports whether it was broken: more than a few
// requests reached a server over half a second after their client had left, or servers were
// still at work then on more than a quarter of the requests that would have lasted so long.
func pipelineVerdict(rec *record, runs []run, left *departures) bool {
	const few = 3
	late, lasting, working := 0, 0, 0
	for _, r := range runs {
		at, gone := left.at[r.id]
		if !gone {
			continue
		}
		bound := at.Add(pipelineGrace)
		switch {
		case r.arrived.After(bound):
			late++
		case r.arrived.Add(pipelineWork).After(bound):
			lasting++
			if r.ended.After(bound) {
				working++
			}
		}
	}
	rec.say("%d requests of clients that left; reached a server over half a second later: %d; servers still at work half a second later: %d of %d", len(left.at), late, working, lasting)
	return late > few || 4*working > lasting
}
