package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

const (
	// usualLookups and usualEntries are the usual requests a second.
	usualLookups = 26.0
	usualEntries = 120.0
	// hotFactor is how many times its usual the tenant sends. It does so hotCount times, from
	// hotFrom on, for hotTime of each hotPeriod.
	hotFactor = 7.5
	hotCount  = 6
	hotFrom   = 3 * time.Second
	hotTime   = 3 * time.Second
	hotPeriod = 5 * time.Second
	// leaverShare is the share of clients that leave while the tenant is hot.
	leaverShare    = 0.3
	leaversLength  = 95 * time.Second
	lookupDeadline = 8 * time.Second
	// objective is the latency objective of lookups. A client that leaves does so within half
	// of it.
	objective = time.Second
	// calmTime is the length of the last part of the run, which is also counted by itself.
	calmTime = 50 * time.Second
)

// counts counts the requests of clients that stayed, by their answers.
type counts struct {
	mutex             sync.Mutex
	sent, served      int
	refused, left     int
	lateSent, lateGot int // well after the disruption
}

func (c *counts) add(a answer, late bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent++
	if a.served() {
		c.served++
	}
	if a.status == 503 {
		c.refused++
	}
	if late {
		c.lateSent++
		if a.served() {
			c.lateGot++
		}
	}
}

// playLeavers lets a tenant send many times its usual, while some of its clients leave before
// their deadline, and then counts which requests are served.
func playLeavers(log *record, trouble bool) (bool, error) {
	d, err := newDeployment(log, 1)
	if err != nil {
		return false, err
	}
	defer d.close("source changed", "VM ", "duty")
	d.configure(route{"r-lookup", "/lookup/", "safe", "lookup", 8, 1}, route{"r-entry", "/entry/", "safe", "entry", 3, 0.4})
	server, err := d.startBackend("i-lookup", "lookup", 25*time.Millisecond)
	if err != nil {
		return false, err
	}
	for i := range 6 {
		if _, err := d.startBackend(fmt.Sprintf("i-entry-%d", i), "entry", 25*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := d.startVM(); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	lookups, entries := &counts{}, &counts{}
	clients := sync.WaitGroup{}
	start := time.Now()
	clients.Go(func() { d.send(start, &clients, "/lookup/", usualLookups, trouble, lookups) })
	clients.Go(func() { d.send(start, &clients, "/entry/", usualEntries, false, entries) })
	stop := make(chan struct{})
	go d.logCounts(stop, lookups, server)
	clients.Wait()
	close(stop)
	for name, c := range map[string]*counts{"lookup": lookups, "entry": entries} {
		log.printf("%s: clients that stayed sent %d requests, %d served, %d refused with 503; %d clients left early; in the last %v %d sent, %d served",
			name, c.sent, c.served, c.refused, c.left, calmTime, c.lateSent, c.lateGot)
	}
	all := float64(lookups.served+entries.served) / float64(lookups.sent+entries.sent)
	own := float64(lookups.served) / float64(lookups.sent)
	log.printf("served: %.3f of lookup, %.3f of all requests; a quarter of that is %.3f", own, all, all/4)
	return own < all/4, nil
}

// logCounts writes each second what became of the lookups so far, and whether the VM is ready.
func (d *deployment) logCounts(stop <-chan struct{}, c *counts, server *backend) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		ready := d.vms[0].ready()
		c.mutex.Lock()
		d.log.printf("lookups of clients that stayed: %d ended, %d served, %d refused; %d clients left; %d requests run by i-lookup, which has %d of %d slots in use; vm-1 ready: %t",
			c.sent, c.served, c.refused, c.left, server.runs.Load(), len(server.slots), slots, ready)
		c.mutex.Unlock()
	}
}

// send sends requests of one kind at a steady rate, or hotFactor times as many while the tenant is hot.
func (d *deployment) send(start time.Time, clients *sync.WaitGroup, path string, rate float64, disturbed bool, c *counts) {
	for number := 0; ; number++ {
		now := time.Since(start)
		if now > leaversLength {
			return
		}
		current, leaves := rate, false
		hot := now - hotFrom
		if disturbed && hot >= 0 && hot < hotCount*hotPeriod && hot%hotPeriod < hotTime {
			leaves = rand.Float64() < leaverShare
			current *= hotFactor
		}
		late := now > leaversLength-calmTime
		id := fmt.Sprintf("%s%06d", path[1:3], number)
		clients.Go(func() { d.request(path, id, leaves, late, c) })
		time.Sleep(time.Duration(rand.ExpFloat64() / current * float64(time.Second)))
	}
}

// request sends one request, and once more if it is refused and the client may return. A
// client that leaves does so by closing its connection.
func (d *deployment) request(path, id string, leaves, late bool, c *counts) {
	if leaves {
		_ = get(d.anyVM(), path+"2f", id, lookupDeadline, time.Duration(rand.Float64()*float64(objective/2)))
		c.mutex.Lock()
		c.left++
		c.mutex.Unlock()
		return
	}
	a := get(d.anyVM(), path+"2f", id, lookupDeadline, lookupDeadline)
	if after, err := strconv.ParseFloat(a.retryAfter, 64); err == nil && !a.served() {
		time.Sleep(min(time.Duration(after*float64(time.Second)), lookupDeadline/3))
		a = get(d.anyVM(), path+"2f", id+"-2", lookupDeadline*2/3, lookupDeadline*2/3)
	}
	c.add(a, late)
}

// anyVM returns the address of one of the VMs at random, as a look-up names all of them.
func (d *deployment) anyVM() string { return d.vms[rand.IntN(len(d.vms))].front() }
