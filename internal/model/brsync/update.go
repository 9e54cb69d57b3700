// Package brsync provides the messages that a VM sends to the VMs that replicate
// from it.
//
// # Usage
//
//	update := brsync.NewUpdate(batches, fleet, fleetAge)
//	for _, batch := range update.Batches() {
//		replica.Apply(now, batch, now.Add(-batch.Age()))
//	}
package brsync

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

// Grant is the decision of a region's lender, the VM that lends out quota, whether
// to admit a request. It is immutable.
type Grant struct {
	granted    bool
	retryAfter time.Duration
}

// NewGrant returns a grant, or a refusal with the time after which the request may
// be retried.
func NewGrant(granted bool, retryAfter time.Duration) Grant {
	return Grant{granted: granted, retryAfter: retryAfter}
}

// Granted reports whether the request is admitted.
func (g Grant) Granted() bool { return g.granted }

// RetryAfter returns the time after which a refused request may be retried.
func (g Grant) RetryAfter() time.Duration { return g.retryAfter }

// Update holds the changed records of the store and the status of the fleet. It
// is immutable.
type Update struct {
	batches    []brrecord.Batch
	fleet      brstatus.Status
	fleetAge   time.Duration
	readsStore bool
	lender     bool
}

// NewUpdate returns an update with a batch of records per area, and the status of
// the fleet with its age.
func NewUpdate(batches []brrecord.Batch, fleet brstatus.Status, fleetAge time.Duration) Update {
	return Update{batches: batches, fleet: fleet, fleetAge: fleetAge}
}

// WithReadsStore returns the update, setting whether its sender reads the store directly.
func (u Update) WithReadsStore(readsStore bool) Update {
	u.readsStore = readsStore
	return u
}

// WithLender returns the update, setting whether its sender is the lender of its region.
func (u Update) WithLender(lender bool) Update {
	u.lender = lender
	return u
}

// IsLender reports whether the sender is the lender of its region.
func (u Update) IsLender() bool { return u.lender }

// ReadsStore reports whether the sender reads the store directly.
func (u Update) ReadsStore() bool { return u.readsStore }

// Batches returns the records, one batch for each area that the sender knows.
func (u Update) Batches() []brrecord.Batch { return u.batches }

// Fleet returns the status of the fleet.
func (u Update) Fleet() brstatus.Status { return u.fleet }

// FleetAge returns the age of the status at the time the update was sent.
func (u Update) FleetAge() time.Duration { return u.fleetAge }
