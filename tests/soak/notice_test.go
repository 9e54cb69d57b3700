package soak

import (
	"time"

	"bergamotroad.example/bergamotroad/platform/brstandin"
)

const (
	// quietSlack is how long after a rejection requests may still arrive, and
	// quietAllowance is how many may arrive later.
	quietSlack     = 500 * time.Millisecond
	quietAllowance = 2
)

// vmAndServer identifies what one server told one VM.
type vmAndServer struct {
	vm     string
	server string
}

// quietTime is a time for which a server wants no requests from a VM.
type quietTime struct {
	from     time.Time
	arrivals int
}

// notices records what servers told VMs in their responses.
type notices struct {
	leaving map[vmAndServer]time.Time // when the VM passed on the first such response
	quiet   map[vmAndServer]*quietTime
}

func newNotices() notices {
	return notices{leaving: map[vmAndServer]time.Time{}, quiet: map[vmAndServer]*quietTime{}}
}

// recordLeaving records a response by which a server told that it shuts down.
func (c *checker) recordLeaving(r *request) {
	key := vmAndServer{vm: r.vm, server: r.response.ServerID()}
	if _, known := c.notices.leaving[key]; !known && r.response.FromLeavingServer() {
		c.notices.leaving[key] = time.Now()
	}
}

// checkNotices checks that a VM heeds what a server told it: it sends no request to a
// server that leaves, and nearly none to one that wants none for a time.
func (c *checker) checkNotices(r *request, a brstandin.ReceivedRequest) {
	key, now := vmAndServer{vm: r.vm, server: a.Server().ID()}, a.ReceivedAt()
	if since, ok := c.notices.leaving[key]; ok && r.sent.Sub(since) > drainTime && c.remembers(r.vm, since, now) {
		c.addViolation("DRAIN: %s reaches %s through %s, %v after it passed on that the server leaves", a.ID(), key.server, r.vm, r.sent.Sub(since))
	}
	quiet, ok := c.notices.quiet[key]
	if !ok || now.Sub(quiet.from) < quietSlack || now.Sub(quiet.from) > brstandin.QuietTime || !c.remembers(r.vm, quiet.from, now) {
		return
	}
	quiet.arrivals++
	if quiet.arrivals == quietAllowance+1 {
		c.addViolation("BUDGET: %d requests reach %s through %s until %v after it wanted none for %v", quiet.arrivals, key.server, r.vm, now.Sub(quiet.from), brstandin.QuietTime)
	}
}

// remembers reports whether a VM was neither restarted nor paused since a time.
func (c *checker) remembers(vm string, since, now time.Time) bool {
	return c.disturbances.undisturbed(vm, since, now) && !c.disturbances.hadPlannedWork(vm, since, now)
}

// recordRefusal records and checks a request that a server refuses.
func (c *checker) recordRefusal(a brstandin.ReceivedRequest, fault brstandin.Fault) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r, known := c.requests[a.ID()]
	if !known {
		return
	}
	c.checkNotices(r, a)
	key := vmAndServer{vm: r.vm, server: a.Server().ID()}
	quiet, ok := c.notices.quiet[key]
	if fault == brstandin.FaultQuiet && (!ok || a.ReceivedAt().Sub(quiet.from) > brstandin.QuietTime) {
		c.notices.quiet[key] = &quietTime{from: a.ReceivedAt()}
	}
}

// leaveServer makes a server say that it leaves while the store still lists it.
func leaveServer(d *deployment, s *brstandin.Server, _ int, _ time.Time) func() {
	d.dropServer(s)
	s.SetLeaving()
	d.addServer(s.Service(), s.Version(), s.Domain())
	return nil
}
