// Package bridempotency decides how a request with an Idempotency-Key is handled,
// based on the record of the key in the platform's table.
//
// A request may run only if its own claim is the stored one. Otherwise it is
// answered without running: with the stored response, with the information that an
// earlier attempt may be running, ran or may have run, or with an error if the key
// was used for another request.
//
// # Usage
//
//	switch bridempotency.Decide(record, claim, now) {
//	case bridempotency.Run:
//		// this attempt, and no other, may run
//	case bridempotency.Replay:
//		// write record.Response()
//	}
package bridempotency

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brclaim"
)

// Decision tells how a request is handled.
type Decision string

// The possible decisions.
const (
	// Run means that this attempt may run.
	Run Decision = "run"
	// Replay means that the stored response is returned.
	Replay Decision = "replay"
	// InProgress means that another attempt may be running.
	InProgress Decision = "in-progress"
	// Unknown means that an earlier attempt may have run but no response was stored.
	Unknown Decision = "unknown"
	// Ran means that an earlier attempt ran but its response was not stored.
	Ran Decision = "ran"
	// Mismatch means that the key was used for another request.
	Mismatch Decision = "mismatch"
)

// clockMargin is the maximum difference between the wall clocks of two VMs. It only
// shifts the time at which InProgress becomes Unknown; the request runs in neither
// case.
const clockMargin = 5 * time.Second

// Decide compares a claim with the record that is stored under its identifier and
// returns how the request is handled.
func Decide(record brclaim.Record, claim brclaim.Claim, now time.Time) Decision {
	stored := record.Claim()
	if stored.Nonce() == claim.Nonce() {
		return Run
	}
	if stored.Fingerprint() != claim.Fingerprint() {
		return Mismatch
	}
	switch record.State() {
	case brclaim.StateAnswered:
		return Replay
	case brclaim.StateRan:
		return Ran
	case brclaim.StateClaimed:
		return decideByDeadline(stored, now)
	default:
		return Unknown
	}
}

func decideByDeadline(stored brclaim.Claim, now time.Time) Decision {
	if now.Before(stored.Deadline().Add(clockMargin)) {
		return InProgress
	}
	return Unknown
}
