// Package brquotalimiter decides whether a request is within its organisation's quota.
//
// Each VM has its own share of every quota. If it is used up, the VM asks the lender:
// the VM that manages the part of the quota that all VMs of the region share.
//
// # Usage
//
//	limiter := brquotalimiter.New(clock, "vm-1", enforcer, syncer, client)
//	decision, err := limiter.Admit(ctx, organisation)
package brquotalimiter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/decide/brquota"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brsync"
)

const (
	// borrowTimeout bounds a request to the lender. It allows for a round trip between
	// regions and some processing; a caller over its quota waits no longer for the
	// refusal.
	borrowTimeout = 80 * time.Millisecond
	// lenderBackoff is the time for which a lender that did not respond is not asked again.
	// Within it, another VM becomes the lender.
	lenderBackoff = 500 * time.Millisecond
)

// LocalQuota holds this VM's share of all quotas and, while it is the lender, the part
// that the VMs of the region share.
type LocalQuota interface {
	// Admit decides on a request by this VM's own share.
	Admit(ctx context.Context, organisation brfleet.Organisation) (brquota.Decision, error)
	// Lend decides on a request by the region's shared part, for a VM whose own share
	// is used up.
	Lend(ctx context.Context, organisation brfleet.Organisation) (brquota.Decision, error)
	// Refund returns the token of a request that did not run.
	Refund(organisation brfleet.Organisation)
}

// LenderSource reports which VM is the lender.
type LenderSource interface {
	// Lender returns the lender, if it is another VM.
	Lender() (brfleet.VM, bool)
}

// Client sends requests to other VMs.
type Client interface {
	// Borrow asks the VM at an address to admit a request of an organisation.
	Borrow(ctx context.Context, address, organisation string) (brsync.Grant, error)
}

// QuotaLimiter enforces the quotas of organisations.
type QuotaLimiter struct {
	clock        brclock.Clock
	self         string
	quota        LocalQuota
	lenders      LenderSource
	client       Client
	backoffUntil atomic.Pointer[time.Time] // time until which the lender is not asked
}

// New returns the limiter of the VM named self.
func New(clock brclock.Clock, self string, quota LocalQuota, lenders LenderSource, client Client) *QuotaLimiter {
	return &QuotaLimiter{clock: clock, self: self, quota: quota, lenders: lenders, client: client}
}

// Admit decides whether a request is within its organisation's quota.
func (l *QuotaLimiter) Admit(ctx context.Context, organisation brfleet.Organisation) (brquota.Decision, error) {
	decision, err := l.quota.Admit(ctx, organisation)
	if err != nil {
		return brquota.Decision{}, errors.Errorf("check own share of quota: %w", err)
	}
	if decision.Admitted() {
		return decision, nil
	}
	lender, ok := l.lenders.Lender()
	if !ok {
		return l.lendLocally(ctx, organisation, decision)
	}
	return l.borrow(ctx, lender, organisation, decision), nil
}

// Refund returns the token of a request that did not run.
func (l *QuotaLimiter) Refund(organisation brfleet.Organisation) { l.quota.Refund(organisation) }

// lendLocally decides by the region's shared part on this VM, where no other VM is the
// lender.
func (l *QuotaLimiter) lendLocally(ctx context.Context, organisation brfleet.Organisation, decision brquota.Decision) (brquota.Decision, error) {
	lent, err := l.quota.Lend(ctx, organisation)
	if err != nil {
		return brquota.Decision{}, errors.Errorf("check region's shared quota: %w", err)
	}
	return decision.WithGrant(l.self, lent.Admitted(), lent.Wait()), nil
}

// borrow asks the lender. If it does not respond, the refusal by the own share stands.
func (l *QuotaLimiter) borrow(ctx context.Context, lender brfleet.VM, organisation brfleet.Organisation, decision brquota.Decision) brquota.Decision {
	if until := l.backoffUntil.Load(); until != nil && l.clock.Now().Before(*until) {
		return decision
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	grant, err := l.client.Borrow(ctx, lender.PeerAddress(), organisation.Name())
	if err != nil {
		until := l.clock.Now().Add(lenderBackoff)
		l.backoffUntil.Store(&until)
		return decision.WithSilentLender(lender.Name())
	}
	return decision.WithGrant(lender.Name(), grant.Granted(), grant.RetryAfter())
}
