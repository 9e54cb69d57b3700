// Package brclaim provides the claim that ensures that a request with an
// Idempotency-Key is executed at most once, and the stored record of it.
//
// # Usage
//
//	claim := brclaim.NewClaim(id, nonce, fingerprint, vm, now, deadline)
//	record := brclaim.NewRecord(claim).WithResponse(response)
package brclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"
)

// ID identifies the claim of an organisation's idempotency key on a route.
type ID string

// NewID returns the identifier for an organisation, a route and the caller's
// idempotency key. It is a digest, so that the key itself is not stored.
func NewID(organisation, route, key string) ID {
	return ID(digest(organisation, route, key))
}

// Fingerprint is a digest of a request, which distinguishes a retry of the request
// from a different request with the same key.
type Fingerprint string

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(method, target string, body []byte) Fingerprint {
	return Fingerprint(digest(method, target, string(body)))
}

// digest hashes parts with their lengths, so that different lists of parts never
// yield the same input.
func digest(parts ...string) string {
	hash := sha256.New()
	for _, part := range parts {
		hash.Write([]byte(strconv.Itoa(len(part))))
		hash.Write([]byte{':'})
		hash.Write([]byte(part))
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// Claim reserves the execution of a request for one attempt. It is immutable.
type Claim struct {
	id          ID
	nonce       string
	fingerprint Fingerprint
	vm          string
	createdAt   time.Time
	deadline    time.Time
}

// NewClaim returns the claim that a VM made at the given time for an attempt, which
// is identified by its nonce and does not run past the deadline.
func NewClaim(id ID, nonce string, fingerprint Fingerprint, vm string, createdAt, deadline time.Time) Claim {
	return Claim{id: id, nonce: nonce, fingerprint: fingerprint, vm: vm, createdAt: createdAt, deadline: deadline}
}

// ID returns the identifier.
func (c Claim) ID() ID { return c.id }

// Nonce returns the unique identifier of the attempt.
func (c Claim) Nonce() string { return c.nonce }

// Fingerprint returns the fingerprint of the request.
func (c Claim) Fingerprint() Fingerprint { return c.fingerprint }

// VM returns the name of the VM that made the claim.
func (c Claim) VM() string { return c.vm }

// CreatedAt returns the wall-clock time of the claim.
func (c Claim) CreatedAt() time.Time { return c.createdAt }

// Deadline returns the wall-clock time after which the attempt no longer runs.
func (c Claim) Deadline() time.Time { return c.deadline }
