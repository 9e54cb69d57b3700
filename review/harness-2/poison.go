package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// contact is the users' contact_s, after which a restarted VM counts as in touch.
	contact = 3 * time.Second
	// serverDownTime is how long a crashed server is away.
	serverDownTime = 2 * time.Second
	// maxPoisonRetries is the number of retries that the rule allows.
	maxPoisonRetries = 3
	poisonPath       = "/look/cylinder-66"
	// workTime is how long a server works on an ordinary request, and entryInterval the time
	// between two unsafe requests of an ordinary caller.
	workTime      = 200 * time.Millisecond
	entryInterval = 50 * time.Millisecond
)

// arrival is a poison request at a server.
type arrival struct {
	id string
	at time.Time
}

// poisonFleet is a service whose servers crash when they begin to run one request, and are
// back after some seconds.
type poisonFleet struct {
	deployment *deployment
	mutex      sync.Mutex
	arrivals   []arrival
	sentBy     map[string]*vm // by request
	inTouch    map[string]bool
	lost       []time.Time // when unsafe requests that a server had begun to run were lost
}

func (f *poisonFleet) start(host int) error {
	d := f.deployment
	handle := func(s *server, _ int, request *http.Request, _ []byte) answer {
		id := request.Header.Get("X-Request-Id")
		if request.RequestURI != poisonPath {
			time.Sleep(workTime)
			return answer{status: http.StatusOK, body: "done\n"}
		}
		f.mutex.Lock()
		f.arrivals = append(f.arrivals, arrival{id: id, at: time.Now()})
		count := len(f.arrivals)
		f.mutex.Unlock()
		d.record.note("server %s begins to run %s and crashes; arrival %d", s.id, id, count)
		time.AfterFunc(serverDownTime, func() { f.restart(host) })
		return answer{crash: true}
	}
	_, err := startServer("lookup", d.serverAddress(host), zones[host%2], d.store, d.record, handle)
	return err
}

func (f *poisonFleet) restart(host int) {
	for range 20 {
		if err := f.start(host); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.deployment.record.note("server at %s didn't come back", f.deployment.serverAddress(host))
}

// sendEntries sends unsafe requests of an ordinary caller to VMs that are ready until done is
// closed, and notes those that end without the answer of a server.
func (f *poisonFleet) sendEntries(done chan struct{}) {
	d := f.deployment
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(entryInterval):
		}
		v := d.vms[i%len(d.vms)]
		if time.Since(v.startTime()) < contact {
			continue
		}
		go func() {
			id := fmt.Sprintf("entry%010d", i)
			request, err := newRequest(http.MethodPost, "http://"+d.address(v.host, frontendPort)+entryPrefix+"1", id, "amount=1")
			if err != nil {
				return
			}
			response, err := client(false).Do(request)
			if err != nil {
				return
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusBadGateway {
				return
			}
			d.record.note("caller gets 502 for unsafe %s: its server crashed", id)
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.lost = append(f.lost, time.Now())
		}()
	}
}

// send sends a request to a VM and returns the status, or 0 without an answer.
func (f *poisonFleet) send(v *vm, id, path string) int {
	d := f.deployment
	request, err := newRequest(http.MethodGet, "http://"+d.address(v.host, frontendPort)+path, id, "")
	if err != nil {
		return 0
	}
	request.Body, request.ContentLength = nil, 0
	f.mutex.Lock()
	f.sentBy[id] = v
	f.inTouch[id] = time.Since(v.startTime()) > contact
	f.mutex.Unlock()
	response, err := client(false).Do(request)
	if err != nil {
		d.record.note("caller sends %s %s to %s and gets no answer: %v", id, path, v.name, err)
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	d.record.note("caller sends %s %s to %s and gets %d, Retry-After %q", id, path, v.name, response.StatusCode, response.Header.Get("Retry-After"))
	return response.StatusCode
}

// runPoison shows BUDGET: a request that has crashed three servers reaches servers again and
// again after the VMs were restarted in turn.
func runPoison(d *deployment, trouble bool) (bool, error) {
	f := &poisonFleet{deployment: d, sentBy: map[string]*vm{}, inTouch: map[string]bool{}}
	for host := range 6 {
		if err := f.start(host + 1); err != nil {
			return false, err
		}
	}
	d.store.put("op", "config", configuration("safe", "lookup", "/look/", 2))
	if err := d.startVMs(3); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	done := make(chan struct{})
	defer close(done)
	go f.sendEntries(done)
	number := 0
	round := func(name string) {
		// The request comes again and again, at each machine in turn.
		for i := range 9 {
			number++
			v := d.vms[i%len(d.vms)]
			f.send(v, fmt.Sprintf("%s%011d", name, number), poisonPath)
			f.send(v, fmt.Sprintf("%sok%09d", name, number), "/look/cylinder-1")
			time.Sleep(time.Second)
		}
	}
	round("first")
	for _, name := range []string{"secnd", "third"} {
		for _, v := range d.vms {
			if !trouble {
				break
			}
			if err := v.restart(); err != nil {
				return false, err
			}
		}
		time.Sleep(contact + time.Second)
		round(name)
	}
	return f.judge(), nil
}

// judge counts the arrivals that were sent by VMs in touch later than contact_s after the third
// crash.
func (f *poisonFleet) judge() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	slices.SortFunc(f.arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	if len(f.arrivals) < 3 {
		f.deployment.record.note("the request has crashed %d servers", len(f.arrivals))
		return false
	}
	third := f.arrivals[2].at
	retries := 0
	for _, a := range f.arrivals {
		if a.at.After(third.Add(contact)) && f.inTouch[a.id] {
			retries++
		}
	}
	lost := 0
	for _, at := range f.lost {
		if at.After(third.Add(contact)) {
			lost++
		}
	}
	f.deployment.record.note("%d unsafe requests of other callers were lost at servers that crashed later than contact_s after the third crash", lost)
	f.deployment.record.note("the request reached servers %d times, %d times later than contact_s after its third crash; %d are allowed", len(f.arrivals), retries, maxPoisonRetries)
	return retries > maxPoisonRetries
}
