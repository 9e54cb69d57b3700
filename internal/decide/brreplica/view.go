package brreplica

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
)

// decode decodes a record and reports whether its content is new. A record that
// can't be decoded counts as absent, except for the policy, whose last valid
// version remains active.
func (r *Replica) decode(now time.Time, record brrecord.Record) (bool, error) {
	switch record.Area() {
	case brrecord.AreaOrders:
		return true, r.decodeOrder(record)
	case brrecord.AreaServers:
		return r.decodeServer(now, record)
	case brrecord.AreaResults:
		return true, decodeInto(r.results, record, r.decoder.Result)
	default:
		return true, decodeInto(r.vms, record, r.decoder.VM)
	}
}

// decodeInto replaces the value of a record in values. Deleted records and records that
// can't be decoded have no value.
func decodeInto[T any](values map[string]T, record brrecord.Record, decode func(brrecord.Record) (T, error)) error {
	delete(values, record.Key())
	if record.Deleted() {
		return nil
	}
	value, err := decode(record)
	if err != nil {
		return err
	}
	values[record.Key()] = value
	return nil
}

// decodeOrder decodes an operator's order. A policy replaces the current one unless its
// version is older.
func (r *Replica) decodeOrder(record brrecord.Record) error {
	if err := decodeInto(r.orders, record, r.decoder.Order); err != nil {
		return err
	}
	order := r.orders[record.Key()]
	if order.Kind() == brfleet.OrderPolicy && (!r.policy.Loaded() || order.Policy().Version() >= r.policy.Version()) {
		r.policy = order.Policy()
	}
	return nil
}

// decodeServer decodes the registration of a server and reports whether its content is
// new. A server whose entry is deleted during the grace period is retained until its end.
func (r *Replica) decodeServer(now time.Time, record brrecord.Record) (bool, error) {
	old, known := r.servers[record.Key()]
	err := decodeInto(r.servers, record, r.decoder.Server)
	server, listed := r.servers[record.Key()]
	if listed {
		delete(r.retained, record.Key())
	}
	if record.Deleted() && known && !old.Draining() && now.Before(r.graceEnd) {
		r.retained[record.Key()] = retainedServer{server: old, until: r.graceEnd}
	}
	return listed != known || server != old, err
}

// View returns the current view of the fleet. Servers whose entries expired while
// the store was unavailable stay in it until the grace period for registering
// again is over, and so does what the store has lost when it returned from an older copy.
func (r *Replica) View(now time.Time) *brfleet.View {
	r.releaseHeld(now)
	servers := make([]brfleet.Server, 0, len(r.servers))
	for _, server := range r.servers {
		servers = append(servers, server)
	}
	for id, retained := range r.retained {
		if !now.Before(retained.until) {
			delete(r.retained, id)
			continue
		}
		servers = append(servers, retained.server)
	}
	vms := make([]brfleet.VM, 0, len(r.vms))
	for _, vm := range r.vms {
		vms = append(vms, vm)
	}
	rollouts, evacuated := r.activeOrders()
	return brfleet.NewView(r.policy, servers, vms, rollouts, evacuated)
}

// NextExpiry returns the next time at which the view changes without a new
// record because something is kept no longer, and whether there is one.
func (r *Replica) NextExpiry() (time.Time, bool) {
	next := time.Time{}
	consider := func(until time.Time) {
		if !until.IsZero() && (next.IsZero() || until.Before(next)) {
			next = until
		}
	}
	for _, retained := range r.retained {
		consider(retained.until)
	}
	for i := range r.areas {
		for _, held := range r.areas[i].held {
			consider(held.until)
		}
	}
	return next, !next.IsZero()
}

// activeOrders returns the ordered rollouts and the evacuated domains.
func (r *Replica) activeOrders() ([]brfleet.Rollout, brset.Set[string]) {
	rollouts := []brfleet.Rollout{}
	evacuated := brset.New[string]()
	for _, order := range r.orders {
		switch order.Kind() {
		case brfleet.OrderRollout:
			rollouts = append(rollouts, r.withResult(order.Rollout()))
		case brfleet.OrderEvacuation:
			evacuated.Add(order.Domain())
		default:
		}
	}
	return rollouts, evacuated
}

// withResult returns the rollout with the state of its result, if there is one. A result
// that was written before the order belongs to an earlier order.
func (r *Replica) withResult(rollout brfleet.Rollout) brfleet.Rollout {
	for _, result := range r.results {
		if result.Service() == rollout.Service() && result.Target() == rollout.Target() && result.Revision() > rollout.Revision() {
			return rollout.WithState(result.State())
		}
	}
	return rollout
}

// Result describes the record of a service's rollout result in the store. It is immutable.
type Result struct {
	revision brrecord.Revision
	lost     bool
}

// Revision returns the record's revision in the store. Its version is 0 if the store has no
// record.
func (r Result) Revision() brrecord.Revision { return r.revision }

// IsLost reports whether the store has lost the result that this replica knows.
func (r Result) IsLost() bool { return r.lost }

// StoredResult returns the record of a service's result.
func (r *Replica) StoredResult(service string) Result {
	a := &r.areas[brrecord.AreaResults]
	for key, result := range r.results {
		if result.Service() != service {
			continue
		}
		_, lost := a.held[key]
		if record, exists := a.storeRecord(key); exists {
			return Result{revision: record.Revision(), lost: lost}
		}
		return Result{revision: brrecord.NewRevision(a.revision.Era(), 0), lost: lost}
	}
	return Result{revision: brrecord.NewRevision(a.revision.Era(), 0)}
}
