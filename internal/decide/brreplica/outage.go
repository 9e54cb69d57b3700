package brreplica

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrecord"
)

const (
	// maxGap is the longest time between two states of the store that needs no
	// explanation. It is the time of two polls and a failed one.
	maxGap = 1500 * time.Millisecond
	// minFailing is the time for which reads have to fail before an outage is assumed. One
	// read that times out on a broken connection fails for less.
	minFailing = 2 * time.Second
	// minRepeatedFailing is the same for reads that failed at least twice.
	minRepeatedFailing = time.Second
	// maxReadTime is the time within which a read fails while this VM runs normally.
	// During the rest of a longer one, the VM itself may have been suspended.
	maxReadTime = 1500 * time.Millisecond
	// maxReadPause is the longest pause between consecutive reads.
	maxReadPause = time.Second
	// reregistrationGrace is the time after an outage during which servers whose entries
	// expired meanwhile may register again.
	reregistrationGrace = 2500 * time.Millisecond
)

// failedReads are the consecutive failed reads of the store since the last success.
type failedReads struct {
	count int
	start time.Time // of the first read
	end   time.Time // of the last read
}

// add records a failed read.
func (f *failedReads) add(start, end time.Time) {
	if end.Sub(start) > maxReadTime {
		start = end.Add(-maxReadTime)
	}
	if f.count == 0 || start.Sub(f.end) > maxReadPause {
		*f = failedReads{start: start}
	}
	f.count++
	f.end = end
}

// showOutage reports whether the reads failed for long enough until the given time.
func (f *failedReads) showOutage(until time.Time) bool {
	if f.count == 0 || until.Sub(f.end) > maxReadPause+maxReadTime {
		return false
	}
	failing := until.Sub(f.start)
	return failing > minFailing || (f.count > 1 && failing > minRepeatedFailing)
}

// RecordFailedRead records that this VM failed to read the servers from the store.
func (r *Replica) RecordFailedRead(start, end time.Time) { r.failures.add(start, end) }

// RecordPeer records that another VM answered this one.
func (r *Replica) RecordPeer(at time.Time) { r.peerAt = at }

// Gap is a time before a batch for which nothing is known of an area.
type Gap struct {
	length time.Duration
	outage bool
}

// Length returns the length of the gap, or 0 if there is none.
func (g Gap) Length() time.Duration { return g.length }

// IsOutage reports whether the store was unavailable during the gap. Otherwise VMs failed to
// read it.
func (g Gap) IsOutage() bool { return g.outage }

// extendCoverage updates the time for which the servers are known without a gap by a batch
// that was current at asOf. If the store was unavailable in the gap before it, the grace
// period starts.
func (r *Replica) extendCoverage(now time.Time, batch brrecord.Batch, asOf time.Time) Gap {
	a := &r.areas[brrecord.AreaServers]
	since := asOf.Add(-batch.Coverage().Length())
	afterOutage := batch.Coverage().AfterOutage()
	gap := Gap{}
	switch {
	case !a.known:
		a.since, a.afterOutage = since, afterOutage
	case since.Sub(a.asOf) > maxGap:
		gap = Gap{length: since.Sub(a.asOf), outage: r.isOutage(now, batch, since)}
		a.since, a.afterOutage = since, gap.outage
		if gap.outage {
			a.since = knownFrom(now, batch, since)
			r.graceEnd = a.since.Add(reregistrationGrace)
		}
	case a.since.Sub(since) > maxGap && asOf.After(a.since):
		// The sender knows that the store was available before this VM's coverage began.
		a.since, a.afterOutage = since, afterOutage
		r.cancelGrace(now)
	}
	if asOf.After(r.failures.start) {
		r.failures = failedReads{}
	}
	return gap
}

// isOutage reports whether the store was unavailable before since, the start of the coverage
// of a batch: its sender or this VM's own reads tell. A VM that no other VM answered
// meanwhile was cut off itself.
func (r *Replica) isOutage(now time.Time, batch brrecord.Batch, since time.Time) bool {
	if batch.Coverage().AfterOutage() {
		return true
	}
	isolated := len(r.vms) > 1 && r.peerAt.Before(r.failures.start)
	return !isolated && r.failures.showOutage(knownFrom(now, batch, since))
}

// knownFrom returns the time from which the store is known to be available by a batch whose
// coverage began at since. A read may have waited for the end of an outage.
func knownFrom(now time.Time, batch brrecord.Batch, since time.Time) time.Time {
	if batch.Coverage().Length() == 0 {
		return now
	}
	return since
}

// cancelGrace ends the grace period and drops the servers that were retained in it. The one
// after the store has returned from an older copy has nothing to do with an outage.
func (r *Replica) cancelGrace(now time.Time) {
	if now.Before(r.eraGraceEnd) {
		return
	}
	r.graceEnd = time.Time{}
	clear(r.retained)
}
