package brdispatch

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"bergamotroad.example/bergamotroad/internal/decide/bridempotency"
	"bergamotroad.example/bergamotroad/internal/duty/brclaimstore"
	"bergamotroad.example/bergamotroad/internal/duty/brrevocation"
	"bergamotroad.example/bergamotroad/internal/model/brclaim"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	fieldIdempotencyKey = "Idempotency-Key"
	// fieldReplayed marks a stored response of an earlier attempt.
	fieldReplayed = "Bergamotroad-Replayed"

	maxClaimedBodySize = 1 << 20 // bytes
	claimTimeout       = 2 * time.Second
	// claimRetryAfter is the Retry-After for a request that is in progress, or
	// that could not be claimed.
	claimRetryAfter = time.Second
)

// Claimer claims requests with an Idempotency-Key before they run.
type Claimer interface {
	// Claim tries to claim the key, waiting no longer than timeout, and
	// returns whether the request may run or what is known of an earlier one.
	Claim(ctx context.Context, claim brclaim.Claim, timeout time.Duration) (brclaimstore.ClaimResult, error)
	// QueueRecord stores the record of a request that ran or may have run.
	QueueRecord(record brclaim.Record) error
	// Release deletes the claim of a request that did not run.
	Release(claim brclaim.Claim) error
}

// needsClaim reports whether the request has to be claimed before it runs. A
// forwarded request was claimed by the VM that forwarded it. Keys are scoped to an
// organisation, so a request without one is not claimed.
func (j *job) needsClaim() bool {
	return !j.forwarded && j.decision.Organisation() != "" && len(j.idempotencyKeys()) > 0
}

func (j *job) idempotencyKeys() []string {
	for name, values := range j.call.Fields().All() {
		if name == fieldIdempotencyKey {
			return values
		}
	}
	return nil
}

// handleClaimed claims the request's key and runs the request if the claim was
// accepted. Otherwise it responds from the record of the request that holds the key.
func (d *Dispatcher) handleClaimed(ctx context.Context, j *job) attemptResult {
	keys := j.idempotencyKeys()
	if len(keys) != 1 || !bridempotency.ValidKey(keys[0]) {
		return refusal(brrequest.ReasonIdempotencyKeyInvalid, 0)
	}
	data, err := j.bufferWholeBody()
	if errors.Is(err, errBodyTooLarge) {
		return refusal(brrequest.ReasonBodyTooLarge, 0)
	}
	if err != nil {
		return refusal(brrequest.ReasonCallerGone, 0)
	}
	claim := d.newClaim(j, keys[0], data)
	claimResult, err := d.claimer.Claim(ctx, claim, min(claimTimeout, j.timeout(d.clock.Now())))
	if err != nil {
		return d.handleWithoutClaim(ctx, j, claim)
	}
	if claimResult.Decision() == bridempotency.Run {
		return d.runClaimed(ctx, j, claim)
	}
	return respondFromRecord(j, claimResult)
}

// bufferWholeBody buffers the complete body, whose hash is part of the claim: it
// detects a key that is reused for a different request.
func (j *job) bufferWholeBody() ([]byte, error) {
	if j.call.Size() > maxClaimedBodySize {
		return nil, errBodyTooLarge
	}
	if j.call.Body() == nil || j.call.Size() == 0 {
		return nil, nil
	}
	limit := min(j.route().MaxBody(), maxClaimedBodySize)
	data, err := io.ReadAll(limitBody(j.call, limit).Body())
	if err != nil {
		return nil, errors.Errorf("read request body: %w", err)
	}
	j.call = brmessage.NewCall(j.call.Method(), j.call.Target(), j.call.Fields(), bytes.NewReader(data), int64(len(data)))
	return data, nil
}

func (d *Dispatcher) newClaim(j *job, key string, data []byte) brclaim.Claim {
	now := d.clock.Now()
	id := brclaim.NewID(j.decision.Organisation(), j.route().Name(), key)
	fingerprint := brclaim.NewFingerprint(j.call.Method(), j.call.Target(), data)
	return brclaim.NewClaim(id, uuid.NewString(), fingerprint, d.vm, now, now.Add(claimTimeout+j.timeout(now)))
}

// handleWithoutClaim handles a request that could not be claimed, for example
// because the table is unavailable. It runs only if its route permits repeated runs.
func (d *Dispatcher) handleWithoutClaim(ctx context.Context, j *job, claim brclaim.Claim) attemptResult {
	_ = d.claimer.Release(claim)
	if ctx.Err() != nil {
		return refusal(contextReason(ctx), 0)
	}
	if j.route().Repeat() != brconfig.RepeatAny {
		return refusal(brrequest.ReasonClaimsUnavailable, claimRetryAfter)
	}
	return d.run(ctx, j)
}

// runClaimed runs a request to completion, even if its caller disconnects, and
// stores the result. If the result can't be stored, a later request with the same
// key is told that the outcome is unknown.
func (d *Dispatcher) runClaimed(ctx context.Context, j *job, claim brclaim.Claim) attemptResult {
	ctx, cancel := detachFromCaller(ctx)
	defer cancel()
	writer := &recordingWriter{caller: j.writer}
	j.writer = writer
	result := d.run(ctx, j)
	switch {
	case result.fate == brrequest.FateNotRun:
		_ = d.claimer.Release(claim)
	case result.fate == brrequest.FateRan:
		_ = d.claimer.QueueRecord(writer.record(claim, result.complete))
	default:
		_ = d.claimer.QueueRecord(brclaim.NewRecord(claim).WithState(brclaim.StateUnknown))
	}
	if writer.callerErr != nil && result.complete {
		result.complete = false
		result.reason = brrequest.ReasonCallerGone
	}
	return result
}

// detachFromCaller returns a context that is not cancelled when the caller
// disconnects, but is cancelled when the caller's key is revoked.
func detachFromCaller(ctx context.Context) (context.Context, context.CancelFunc) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if cause := context.Cause(ctx); brrevocation.IsErrRevoked(cause) {
			cancel(cause)
		}
	})
	return detached, func() {
		stop()
		cancel(nil)
	}
}

// respondFromRecord responds to a request that does not run because its key is already
// claimed.
func respondFromRecord(j *job, claimResult brclaimstore.ClaimResult) attemptResult {
	switch claimResult.Decision() {
	case bridempotency.Replay:
		return replay(j, claimResult.Record())
	case bridempotency.Mismatch:
		return refusal(brrequest.ReasonIdempotencyKeyReused, 0)
	case bridempotency.InProgress:
		return attemptResult{fate: brrequest.FateUnknown, reason: brrequest.ReasonInProgress, retryAfter: claimRetryAfter, final: true}
	case bridempotency.Ran:
		return attemptResult{fate: brrequest.FateRan, reason: brrequest.ReasonResponseNotStored, final: true}
	default:
		return attemptResult{fate: brrequest.FateUnknown, reason: brrequest.ReasonOutcomeUnknown, final: true}
	}
}

// replay sends the stored response of the request that ran.
func replay(j *job, record brclaim.Record) attemptResult {
	stored, ok := record.Response().Get()
	if !ok {
		return attemptResult{fate: brrequest.FateRan, reason: brrequest.ReasonResponseNotStored, final: true}
	}
	fields := stored.Fields().Clone()
	fields.Set(fieldReplayed, "1")
	response := brmessage.NewResponse(stored.Status(), fields, io.NopCloser(bytes.NewReader(stored.Body())), nil)
	result := attemptResult{fate: brrequest.FateRan, started: true, final: true, status: stored.Status()}
	if err := relay(response, j.writer); err != nil {
		result.reason = brrequest.ReasonCallerGone
		return result
	}
	result.complete = true
	return result
}
