package brreplica

import (
	"bytes"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
)

// rewriteGrace is the time after the store has returned from an older copy in which operators
// and servers write again what it has lost. It is longer than the time after which entries of
// servers expire.
const rewriteGrace = 8 * time.Second

// heldRecord is what the store says of a key after it has returned from an older copy, while
// this replica keeps the newer content that it knows.
type heldRecord struct {
	record brrecord.Record
	until  time.Time // zero if the content is kept until it is written again
}

// startEra prepares an area for the first batch after the store has returned from an older
// copy.
func (r *Replica) startEra(now time.Time, id brrecord.Area) {
	a := &r.areas[id]
	clear(a.held)
	a.settledAt = now.Add(rewriteGrace)
	if id == brrecord.AreaServers {
		r.eraGraceEnd = now.Add(reregistrationGrace)
		r.graceEnd = r.eraGraceEnd
	}
}

// expiry returns until when the content of an area is kept. Results are written by the VMs
// themselves, which do so again as soon as they can.
func (r *Replica) expiry(id brrecord.Area) time.Time {
	if id == brrecord.AreaResults {
		return time.Time{}
	}
	return r.areas[id].settledAt
}

// hold keeps what is known of a key in spite of a record of a new era, if the store has lost
// the former. It reports whether it does.
func (r *Replica) hold(record brrecord.Record) bool {
	a := &r.areas[record.Area()]
	old, ok := a.entries[record.Key()]
	if !ok || old.Revision().Era() >= record.Revision().Era() || !r.isLost(old, record) {
		return false
	}
	a.held[record.Key()] = heldRecord{record: record, until: r.expiry(record.Area())}
	return true
}

// isLost reports whether the store has lost the content of an entry, as far as a record of the
// first list of a new era tells, and whether that content is still to be used. A record with a
// lower version than the entry had is a state before it.
func (r *Replica) isLost(old, record brrecord.Record) bool {
	isOlder := record.Deleted() || record.Revision().Version() < old.Revision().Version()
	if !isOlder || hasSameContent(old, record) {
		return false
	}
	switch record.Area() {
	case brrecord.AreaServers:
		return r.hasLeft(old) && !r.isDraining(record)
	case brrecord.AreaOrders:
		return !r.isEvacuation(record)
	default:
		return !old.Deleted()
	}
}

// hasLeft reports whether the entry of a server says that no requests may be sent to it.
// Missing servers are retained by the grace period of an outage instead.
func (r *Replica) hasLeft(entry brrecord.Record) bool {
	return entry.Deleted() || r.servers[entry.Key()].Draining()
}

func (r *Replica) isDraining(record brrecord.Record) bool {
	if record.Deleted() {
		return true
	}
	server, err := r.decoder.Server(record)
	return err != nil || server.Draining()
}

// isEvacuation reports whether a record orders an evacuation. It is obeyed at once even if it
// may have been taken back: a domain that is avoided for a moment harms nobody.
func (r *Replica) isEvacuation(record brrecord.Record) bool {
	if record.Deleted() {
		return false
	}
	order, err := r.decoder.Order(record)
	return err == nil && order.Kind() == brfleet.OrderEvacuation
}

func hasSameContent(a, b brrecord.Record) bool {
	return a.Deleted() == b.Deleted() && bytes.Equal(a.Payload(), b.Payload())
}

// isRewritten reports whether a record only writes again what an entry said before the store
// returned from an older copy. An order that is written again is not a new order.
func (a *area) isRewritten(now time.Time, old, record brrecord.Record) bool {
	if record.Area() != brrecord.AreaOrders || !hasSameContent(old, record) {
		return false
	}
	return old.Revision().Era() < record.Revision().Era() || now.Before(a.settledAt)
}

// releaseHeld takes over what the store says of the keys whose time to be written again is
// over.
func (r *Replica) releaseHeld(now time.Time) {
	for i := range r.areas {
		a := &r.areas[i]
		for key, held := range a.held {
			if held.until.IsZero() || now.Before(held.until) {
				continue
			}
			delete(a.held, key)
			r.put(now, a, held.record, &Change{})
		}
	}
}

// Lost returns the keys of an area whose content the store has lost, as far as this replica
// knows.
func (r *Replica) Lost(id brrecord.Area) brset.Set[string] {
	lost := brset.New[string]()
	for key := range r.areas[id].held {
		lost.Add(key)
	}
	return lost
}

// storeRecord returns what the store says of a key, and whether it has it.
func (a *area) storeRecord(key string) (brrecord.Record, bool) {
	record, ok := a.entries[key]
	if held, isHeld := a.held[key]; isHeld {
		record = held.record
	}
	return record, ok && !record.Deleted()
}
