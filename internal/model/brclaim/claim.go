// Package brclaim provides the claim that makes a request with an
// Idempotency-Key run at most once, and what is kept of it.
//
// # Usage
//
//	claim := brclaim.NewClaim(id, nonce, fingerprint, vm, now)
//	record := brclaim.NewRecord(claim).WithAnswer(answer)
package brclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"
)

// ID names the claim of one organisation's key on one route.
type ID string

// NewID returns the identifier for an organisation, a route and the key that
// the caller chose. The key itself is not kept.
func NewID(organisation, route, key string) ID {
	return ID(digest(organisation, route, key))
}

// Fingerprint tells whether two requests with one key are the same request.
type Fingerprint string

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(method, target string, body []byte) Fingerprint {
	return Fingerprint(digest(method, target, string(body)))
}

// digest hashes parts so that no two lists of parts give the same input.
func digest(parts ...string) string {
	hash := sha256.New()
	for _, part := range parts {
		hash.Write([]byte(strconv.Itoa(len(part))))
		hash.Write([]byte{':'})
		hash.Write([]byte(part))
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// Claim says that one attempt of a request wants to run. It is immutable.
type Claim struct {
	id          ID
	nonce       string
	fingerprint Fingerprint
	vm          string
	at          time.Time
	deadline    time.Time
}

// NewClaim returns the claim of an attempt, told from all others by its nonce,
// made on a VM at a time. The attempt runs no longer than the deadline.
func NewClaim(id ID, nonce string, fingerprint Fingerprint, vm string, at, deadline time.Time) Claim {
	return Claim{id: id, nonce: nonce, fingerprint: fingerprint, vm: vm, at: at, deadline: deadline}
}

// ID returns the identifier.
func (c Claim) ID() ID { return c.id }

// Nonce returns what tells this attempt from all others.
func (c Claim) Nonce() string { return c.nonce }

// Fingerprint returns the fingerprint of the request.
func (c Claim) Fingerprint() Fingerprint { return c.fingerprint }

// VM returns the name of the VM that made the claim.
func (c Claim) VM() string { return c.vm }

// At returns the wall time of the claim.
func (c Claim) At() time.Time { return c.at }

// Deadline returns the wall time after which the attempt no longer runs.
func (c Claim) Deadline() time.Time { return c.deadline }
