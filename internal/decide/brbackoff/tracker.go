// Package brbackoff tracks which backend servers want no requests from this VM.
//
// A server that shuts down says so in its responses. It gets no request any more,
// whatever the list of servers says: the list may be stale, or come from a VM that has
// not heard of it. A server is known by its identifier and its start time, so that
// neither another server at the same address nor a later run of it is affected.
//
// An overloaded server that rejects a request may say for how long it wants no more.
// After that time it gets a single request, and twice as many at a time with each
// answer. VMs add a different delay each, so that they don't return at once.
//
// # Usage
//
//	tracker := brbackoff.New("vm-1")
//	change := tracker.Record(now, server, report)
//	if until, quiet := tracker.QuietUntil(now, server); quiet {
//		// send nothing to the server before until
//	}
package brbackoff

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
)

const (
	// maxQuietTime caps the time for which a server gets no requests, so that an absurd
	// value doesn't take the server out of use until its next start.
	maxQuietTime = 5 * time.Minute
	// maxReturnDelay is the longest delay that a VM adds to the time for which a server
	// wants no requests. The delay is also at most that time divided by
	// returnDelayDivisor.
	maxReturnDelay     = time.Second
	returnDelayDivisor = 4
	// firstWindow is the number of requests at a time when a server gets requests again.
	firstWindow = 1
	// maxTracked bounds the servers of which a notice is kept.
	maxTracked = 8192
)

// Change is what a report changed.
type Change int

// Changes by a report.
const (
	// Unchanged means that nothing new is known.
	Unchanged Change = iota
	// Left means that the server said for the first time that it shuts down.
	Left
	// Quiet means that the server wants no requests for a time, or for a longer time.
	Quiet
)

// Tracker keeps the notices of the servers. It is not safe for concurrent use.
type Tracker struct {
	vm      string
	leaving map[string]departure // by server identifier
	quiet   map[string]quietTime // by server identifier
}

// departure is the notice of a server that shuts down.
type departure struct {
	started int64 // start time of the server in Unix milliseconds
	at      time.Time
}

// quietTime is the notice of a server that wants no requests for a time.
type quietTime struct {
	started int64 // start time of the server in Unix milliseconds
	until   time.Time
	window  int // requests at a time after until
}

// New returns the tracker of a VM.
func New(vm string) *Tracker {
	return &Tracker{vm: vm, leaving: map[string]departure{}, quiet: map[string]quietTime{}}
}

// Record records what a server said about itself with a response that arrived at now.
func (t *Tracker) Record(now time.Time, server brfleet.Server, report brfleet.ServerReport) Change {
	if report.Leaving() && !t.IsLeaving(server) {
		makeRoom(t.leaving, func(d departure) time.Time { return d.at })
		t.leaving[server.ID()] = departure{started: server.StartUnixMilli(), at: now}
		return Left
	}
	if report.RetryAfter() <= 0 {
		return Unchanged
	}
	until := now.Add(t.quietTime(server, report.RetryAfter()))
	if earlier, ok := t.notice(server); ok && !until.After(earlier.until) {
		return Unchanged
	}
	makeRoom(t.quiet, func(q quietTime) time.Time { return q.until })
	t.quiet[server.ID()] = quietTime{started: server.StartUnixMilli(), until: until, window: firstWindow}
	return Quiet
}

// quietTime returns for how long a server gets no requests, with this VM's delay.
func (t *Tracker) quietTime(server brfleet.Server, asked time.Duration) time.Duration {
	asked = min(asked, maxQuietTime)
	delay := min(asked/returnDelayDivisor, maxReturnDelay)
	const steps = 1 << 16
	step := xxhash.Sum64String(t.vm+"/"+server.ID()) % steps
	return asked + delay*time.Duration(step)/steps
}

// RecordAnswer records that a server ran a request. A server that gets requests again may
// then get more at a time.
func (t *Tracker) RecordAnswer(now time.Time, server brfleet.Server) {
	notice, ok := t.notice(server)
	if !ok || now.Before(notice.until) {
		return
	}
	notice.window *= 2
	if notice.window > server.Slots() {
		delete(t.quiet, server.ID())
		return
	}
	t.quiet[server.ID()] = notice
}

// IsLeaving reports whether a server said that it shuts down.
func (t *Tracker) IsLeaving(server brfleet.Server) bool {
	d, ok := t.leaving[server.ID()]
	return ok && server.StartUnixMilli() <= d.started
}

// HasQuiet reports whether any notice of a server that wants no requests is kept.
func (t *Tracker) HasQuiet() bool { return len(t.quiet) > 0 }

// QuietUntil returns the time until which a server gets no requests, if it wants none.
func (t *Tracker) QuietUntil(now time.Time, server brfleet.Server) (time.Time, bool) {
	notice, ok := t.notice(server)
	return notice.until, ok && now.Before(notice.until)
}

// Window returns how many requests at a time a server may get, if that is limited because
// it wanted none before.
func (t *Tracker) Window(server brfleet.Server) (int, bool) {
	notice, ok := t.notice(server)
	return notice.window, ok
}

// notice returns the notice of a server's current run.
func (t *Tracker) notice(server brfleet.Server) (quietTime, bool) {
	notice, ok := t.quiet[server.ID()]
	return notice, ok && server.StartUnixMilli() <= notice.started
}

// makeRoom removes the entry with the earliest time if the map is full.
func makeRoom[V any](entries map[string]V, timeOf func(V) time.Time) {
	if len(entries) < maxTracked {
		return
	}
	earliest, found := "", false
	for key, entry := range entries {
		if !found || timeOf(entry).Before(timeOf(entries[earliest])) {
			earliest, found = key, true
		}
	}
	delete(entries, earliest)
}
