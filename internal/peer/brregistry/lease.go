package brregistry

import (
	"context"

	"bergamotroad.example/bergamotroad/internal/model/brmeter"
)

// LeaseTable is the part of the store that holds the lease for usage reports. Its methods
// return the errors of brtable.
type LeaseTable interface {
	// Lease reads the row of the lease. Its version is 0 if it does not exist.
	Lease(ctx context.Context) (brmeter.Row, error)
	// PutLease writes the row if it has the expected version, and returns its new version, or
	// 0 if the store does not tell it.
	PutLease(ctx context.Context, lease brmeter.Lease, expected uint64) (uint64, error)
}
