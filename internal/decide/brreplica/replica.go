// Package brreplica keeps a VM's replica of the records in the store and derives
// the VM's view of the fleet from it.
//
// Records come from the store or from another VM that has read it. The replica never
// reverts to an older state: batches and records that are older than the known revision
// are dropped.
//
// The store may return from an older copy of itself, which begins a new era. Its first full
// batch of that era lacks what was written last before. The replica keeps this until it is
// written again, for a limited time; see era.go.
//
// Entries of servers expire while the store is unavailable, although the servers are alive.
// After an outage, such servers stay in the view for a grace period in which they can
// register again. A gap in what this VM knows is no outage by itself: the VM that reads the
// store may have failed. An outage is known from reads that failed here, or from the VM that
// sends the records; see outage.go.
//
// # Usage
//
//	replica := brreplica.New(decoder)
//	replica.RecordFailedRead(start, end)
//	change := replica.Apply(now, batch, asOf)
//	view := replica.View(now)
package brreplica

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
)

// maxTombstones is the maximum number of tombstones that an area keeps. A VM
// whose revision is older than that of dropped tombstones gets the whole area.
const maxTombstones = 2048

// Decoder decodes the payloads of records.
type Decoder interface {
	// Order decodes an operator's order.
	Order(record brrecord.Record) (brfleet.Order, error)
	// Server decodes the registration of a backend server.
	Server(record brrecord.Record) (brfleet.Server, error)
	// Result decodes the outcome of a rollout.
	Result(record brrecord.Record) (brfleet.Rollout, error)
	// VM decodes the registration of an entry VM.
	VM(record brrecord.Record) (brfleet.VM, error)
}

// Replica is a VM's replica of the records. It is not safe for concurrent use.
type Replica struct {
	decoder  Decoder
	areas    [brrecord.AreaCount]area
	policy   brfleet.Policy
	orders   map[string]brfleet.Order
	servers  map[string]brfleet.Server
	results  map[string]brfleet.Rollout
	vms      map[string]brfleet.VM
	retained map[string]retainedServer
	graceEnd time.Time // end of the latest grace period
	// eraGraceEnd is the end of the latest grace period that began with a new era.
	eraGraceEnd time.Time
	failures    failedReads
	peerAt      time.Time // when another VM answered last
}

// retainedServer is a server whose entry expired while the store was unavailable.
type retainedServer struct {
	server brfleet.Server
	until  time.Time
}

// area is the replica of one area of the store.
type area struct {
	known            bool
	revision         brrecord.Revision
	tombstoneHorizon brrecord.Revision // tombstones up to this revision may have been dropped
	entries          map[string]brrecord.Record
	held             map[string]heldRecord // by key, of entries with newer content than the store
	settledAt        time.Time             // end of the time in which lost records are written again
	asOf             time.Time
	since            time.Time // start of the time up to asOf that is known without a gap; set for the servers
	afterOutage      bool      // the store was unavailable before since
}

// coverage returns what is known of the time before asOf.
func (a *area) coverage() brrecord.Coverage {
	if a.since.IsZero() {
		return brrecord.Coverage{}
	}
	return brrecord.NewCoverage(max(a.asOf.Sub(a.since), 0), a.afterOutage)
}

// New returns an empty replica.
func New(decoder Decoder) *Replica {
	r := &Replica{
		decoder:  decoder,
		orders:   map[string]brfleet.Order{},
		servers:  map[string]brfleet.Server{},
		results:  map[string]brfleet.Rollout{},
		vms:      map[string]brfleet.VM{},
		retained: map[string]retainedServer{},
	}
	for i := range r.areas {
		r.areas[i].entries = map[string]brrecord.Record{}
		r.areas[i].held = map[string]heldRecord{}
	}
	return r
}

// Change describes what a batch changed.
type Change struct {
	records  []brrecord.Record
	failures []DecodeFailure
	gap      Gap
	first    bool // nothing was known of the area before
	newEra   bool
	held     int  // records that the store has lost
	settled  bool // content that the store had lost is known to be there again, or to be gone
}

// BeginsEra reports whether the batch is the first one after the store has returned from an
// older copy.
func (c Change) BeginsEra() bool { return c.newEra }

// Held returns the number of records whose newer content is kept although the store has lost it.
func (c Change) Held() int { return c.held }

// IsEmpty reports whether the batch changed nothing that others have to learn.
func (c Change) IsEmpty() bool { return len(c.records) == 0 && !c.first && !c.newEra && !c.settled }

// Gap returns the gap before the batch.
func (c Change) Gap() Gap { return c.gap }

// Records returns the records with new content.
func (c Change) Records() []brrecord.Record { return c.records }

// Failures returns the records that could not be decoded.
func (c Change) Failures() []DecodeFailure { return c.failures }

// DecodeFailure is a record that could not be decoded.
type DecodeFailure struct {
	record brrecord.Record
	cause  error
}

// Record returns the record that could not be decoded.
func (f DecodeFailure) Record() brrecord.Record { return f.record }

// Cause returns the decoding error.
func (f DecodeFailure) Cause() error { return f.cause }

// Apply merges a batch that was current at asOf. A batch that is older than the
// known revision of its area is ignored, and so is one of a new era that isn't full: the
// changes in it follow a state that isn't known here.
func (r *Replica) Apply(now time.Time, batch brrecord.Batch, asOf time.Time) Change {
	change := Change{}
	a := &r.areas[batch.Area()]
	if a.known && batch.Revision() < a.revision {
		return change
	}
	change.first = !a.known
	change.newEra = a.known && batch.Revision().Era() > a.revision.Era()
	if change.newEra && !batch.Full() {
		return Change{}
	}
	if batch.Area() == brrecord.AreaServers {
		change.gap = r.extendCoverage(now, batch, asOf)
	}
	if change.newEra {
		r.startEra(now, batch.Area())
	}
	listed := brset.New[string]()
	for _, record := range batch.Records() {
		listed.Add(record.Key())
		if change.newEra && r.hold(record) {
			change.held++
			continue
		}
		r.put(now, a, record, &change)
	}
	if batch.Full() {
		r.deleteUnlisted(now, a, listed, batch, &change)
	}
	a.known = true
	a.revision = batch.Revision()
	if asOf.After(a.asOf) {
		a.asOf = asOf
	}
	a.dropTombstones()
	return change
}

// deleteUnlisted deletes the entries that a full batch does not list. Others may know records
// that were written and deleted before the batch and never known here.
func (r *Replica) deleteUnlisted(now time.Time, a *area, listed brset.Set[string], batch brrecord.Batch, change *Change) {
	for key, record := range a.entries {
		held, isHeld := a.held[key]
		isGone := (record.Deleted() && !isHeld) || held.record.Deleted()
		if listed.Has(key) || isGone {
			continue
		}
		deleted := record.WithDeleted(batch.Revision())
		if change.newEra && r.hold(deleted) {
			change.held++
			continue
		}
		r.put(now, a, deleted, change)
	}
	a.tombstoneHorizon = batch.Revision()
}

// put stores one record. A registration of a server without new content keeps its
// earlier revision of the same era, so that it isn't sent to followers.
func (r *Replica) put(now time.Time, a *area, record brrecord.Record, change *Change) {
	old, ok := a.entries[record.Key()]
	held, isHeld := a.held[record.Key()]
	if (ok && record.Revision() <= old.Revision()) || (isHeld && record.Revision() <= held.record.Revision()) {
		return
	}
	if isHeld {
		delete(a.held, record.Key())
		change.settled = true
	}
	switch {
	case record.Deleted() && (!ok || old.Deleted()):
		// Other VMs may know a record that was written and deleted in between.
		a.entries[record.Key()] = record
		return
	case ok && a.isRewritten(now, old, record):
		a.entries[record.Key()] = record
		return
	}
	isNew, err := r.decode(now, record)
	if err != nil {
		change.failures = append(change.failures, DecodeFailure{record: record, cause: err})
	}
	if isNew || !ok || old.Revision().Era() < record.Revision().Era() {
		a.entries[record.Key()] = record
	}
	if isNew || !ok {
		change.records = append(change.records, record)
	}
}

// dropTombstones drops all tombstones of an area once there are more than maxTombstones.
func (a *area) dropTombstones() {
	tombstones := 0
	for _, record := range a.entries {
		if record.Deleted() {
			tombstones++
		}
	}
	if tombstones <= maxTombstones {
		return
	}
	for key, record := range a.entries {
		if record.Deleted() {
			delete(a.entries, key)
			a.tombstoneHorizon = max(a.tombstoneHorizon, record.Revision())
		}
	}
}

// Revisions returns the known revision of each area, 0 for unknown areas.
func (r *Replica) Revisions() brrecord.Revisions {
	revisions := brrecord.Revisions{}
	for i := range r.areas {
		if r.areas[i].known {
			revisions[i] = r.areas[i].revision
		}
	}
	return revisions
}

// AsOf returns the latest time at which the known state of an area was current, and
// whether the area is known.
func (r *Replica) AsOf(id brrecord.Area) (time.Time, bool) {
	return r.areas[id].asOf, r.areas[id].known
}

// Since returns the records after the revisions that another VM knows, as one
// batch for each area that is known here.
func (r *Replica) Since(known brrecord.Revisions) []brrecord.Batch {
	batches := []brrecord.Batch{}
	for i := range r.areas {
		a := &r.areas[i]
		if !a.known || known[i] > a.revision {
			continue
		}
		full := known[i] == 0 || known[i] < a.tombstoneHorizon || known[i].Era() < a.revision.Era()
		records := []brrecord.Record{}
		for key, record := range a.entries {
			if full {
				var exists bool
				if record, exists = a.storeRecord(key); !exists {
					continue
				}
			} else if record.Revision() <= known[i] {
				continue
			}
			records = append(records, record)
		}
		batch := brrecord.NewBatch(brrecord.Area(i), records, a.revision, full)
		batches = append(batches, batch.WithCoverage(a.coverage()))
	}
	return batches
}
