// Package bridempotent decides what becomes of a request with an
// Idempotency-Key, from what the platform's table keeps of the key.
//
// A request may run only where its own claim is the one that was kept. All
// else is an answer without a run: the kept answer, in progress, unknown, or an
// error where the key was used for another request.
//
// # Usage
//
//	switch bridempotent.Judge(record, claim, now) {
//	case bridempotent.Run:
//		// this attempt, and no other, may run
//	case bridempotent.Replay:
//		// write record.Answer()
//	}
package bridempotent

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brclaim"
)

// Judgement says what becomes of a request.
type Judgement string

// The judgements.
const (
	// Run means that this attempt may run.
	Run Judgement = "run"
	// Replay means that the kept answer is given.
	Replay Judgement = "replay"
	// InProgress means that another attempt may be running.
	InProgress Judgement = "in-progress"
	// Unknown means that an earlier attempt may have run and left no answer.
	Unknown Judgement = "unknown"
	// Ran means that an earlier attempt ran and its answer is not kept.
	Ran Judgement = "ran"
	// Mismatch means that the key was used for another request.
	Mismatch Judgement = "mismatch"
)

// clockMargin bounds how far the wall clocks of two VMs may differ. It only
// moves the moment at which in progress becomes unknown; neither runs.
const clockMargin = 5 * time.Second

// Judge decides for a claim against the record that the table keeps of its
// identifier.
func Judge(record brclaim.Record, claim brclaim.Claim, now time.Time) Judgement {
	kept := record.Claim()
	if kept.Nonce() == claim.Nonce() {
		return Run
	}
	if kept.Fingerprint() != claim.Fingerprint() {
		return Mismatch
	}
	switch record.State() {
	case brclaim.StateAnswered:
		return Replay
	case brclaim.StateRan:
		return Ran
	case brclaim.StateClaimed:
		return inProgress(kept, now)
	default:
		return Unknown
	}
}

func inProgress(kept brclaim.Claim, now time.Time) Judgement {
	if now.Before(kept.Deadline().Add(clockMargin)) {
		return InProgress
	}
	return Unknown
}
