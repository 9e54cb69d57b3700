package brdispatch

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"bergamotroad.example/bergamotroad/internal/decide/bridempotent"
	"bergamotroad.example/bergamotroad/internal/duty/brclaiming"
	"bergamotroad.example/bergamotroad/internal/duty/brrevoking"
	"bergamotroad.example/bergamotroad/internal/model/brclaim"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	fieldIdempotencyKey = "Idempotency-Key"
	// fieldReplayed marks a stored answer of an earlier attempt.
	fieldReplayed = "Bergamotroad-Replayed"

	maxClaimedBody = 1 << 20 // bytes
	claimPatience  = 2 * time.Second
	// claimRetryAfter is the Retry-After for a request that is in progress, or
	// that could not be claimed because the table is unavailable.
	claimRetryAfter = time.Second
)

// Claiming claims requests with an Idempotency-Key before they run.
type Claiming interface {
	// Claim tries to claim the key, waiting no longer than patience, and
	// returns whether the request may run or what is known of an earlier one.
	Claim(ctx context.Context, claim brclaim.Claim, patience time.Duration) (brclaiming.Ruling, error)
	// Keep stores the record of a request that ran or may have run.
	Keep(record brclaim.Record) error
	// Release deletes the claim of a request that did not run.
	Release(claim brclaim.Claim) error
}

// keyed reports whether the request has to be claimed before it runs. A forwarded
// request was claimed by the VM that forwarded it. Keys are scoped to an
// organisation, so a request without one is not claimed.
func (j *job) keyed() bool {
	return !j.crossed && j.verdict.Organisation() != "" && len(j.idempotencyKeys()) > 0
}

func (j *job) idempotencyKeys() []string {
	for name, values := range j.call.Fields().All() {
		if name == fieldIdempotencyKey {
			return values
		}
	}
	return nil
}

// carryClaimed claims the request's key and runs the request if the claim was
// accepted. Otherwise it answers from the record of the request that holds the key.
func (d *Dispatcher) carryClaimed(ctx context.Context, j *job) ending {
	keys := j.idempotencyKeys()
	if len(keys) != 1 || !bridempotent.ValidKey(keys[0]) {
		return refusal(brrequest.ReasonIdempotencyKeyInvalid, 0)
	}
	data, err := j.takeWholeBody()
	if errors.Is(err, errBodyTooLarge) {
		return refusal(brrequest.ReasonBodyTooLarge, 0)
	}
	if err != nil {
		return refusal(brrequest.ReasonCallerGone, 0)
	}
	claim := d.newClaim(j, keys[0], data)
	ruling, err := d.claiming.Claim(ctx, claim, min(claimPatience, j.patience(d.clock.Now())))
	if err != nil {
		return d.carryUnclaimed(ctx, j, claim)
	}
	if ruling.Judgement() == bridempotent.Run {
		return d.runClaimed(ctx, j, claim)
	}
	return answerFor(j, ruling)
}

// takeWholeBody buffers the complete body, whose hash is part of the claim: it
// detects a key that is reused for a different request.
func (j *job) takeWholeBody() ([]byte, error) {
	if j.call.Size() > maxClaimedBody {
		return nil, errBodyTooLarge
	}
	if j.call.Body() == nil || j.call.Size() == 0 {
		return nil, nil
	}
	most := min(j.route().MaxBody(), maxClaimedBody)
	data, err := io.ReadAll(limited(j.call, most).Body())
	if err != nil {
		return nil, errors.Errorf("read request body: %w", err)
	}
	j.call = brmessage.NewCall(j.call.Method(), j.call.Target(), j.call.Fields(), bytes.NewReader(data), int64(len(data)))
	return data, nil
}

func (d *Dispatcher) newClaim(j *job, key string, data []byte) brclaim.Claim {
	now := d.clock.Now()
	id := brclaim.NewID(j.verdict.Organisation(), j.route().Name(), key)
	fingerprint := brclaim.NewFingerprint(j.call.Method(), j.call.Target(), data)
	return brclaim.NewClaim(id, uuid.NewString(), fingerprint, d.vm, now, now.Add(claimPatience+j.patience(now)))
}

// carryUnclaimed handles a request that could not be claimed because the table is
// unavailable. It runs only if its route permits repeated runs.
func (d *Dispatcher) carryUnclaimed(ctx context.Context, j *job, claim brclaim.Claim) ending {
	_ = d.claiming.Release(claim)
	if ctx.Err() != nil {
		return refusal(reasonOf(ctx), 0)
	}
	if j.route().Repeat() != brconfig.RepeatAny {
		return refusal(brrequest.ReasonClaimsUnavailable, claimRetryAfter)
	}
	return d.run(ctx, j)
}

// runClaimed runs a request to completion, even if its caller disconnects, and
// stores the result. If the result can't be stored, a later request with the same
// key is told that the outcome is unknown.
func (d *Dispatcher) runClaimed(ctx context.Context, j *job, claim brclaim.Claim) ending {
	ctx, cancel := detached(ctx)
	defer cancel()
	writer := &keepingWriter{caller: j.writer}
	j.writer = writer
	end := d.run(ctx, j)
	switch {
	case end.fate == brrequest.FateNotRun:
		_ = d.claiming.Release(claim)
	case end.fate == brrequest.FateRan:
		_ = d.claiming.Keep(writer.record(claim, end.whole))
	default:
		_ = d.claiming.Keep(brclaim.NewRecord(claim).WithState(brclaim.StateUnknown))
	}
	if writer.gone != nil && end.whole {
		end.whole = false
		end.reason = brrequest.ReasonCallerGone
	}
	return end
}

// detached returns a context that is not cancelled when the caller disconnects,
// but is when the caller's key is revoked.
func detached(ctx context.Context) (context.Context, context.CancelFunc) {
	free, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if cause := context.Cause(ctx); brrevoking.IsErrWithdrawn(cause) {
			cancel(cause)
		}
	})
	return free, func() {
		stop()
		cancel(nil)
	}
}

// answerFor answers a request that does not run because its key is already claimed.
func answerFor(j *job, ruling brclaiming.Ruling) ending {
	switch ruling.Judgement() {
	case bridempotent.Replay:
		return replay(j, ruling.Record())
	case bridempotent.Mismatch:
		return refusal(brrequest.ReasonIdempotencyKeyReused, 0)
	case bridempotent.InProgress:
		return ending{fate: brrequest.FateUnknown, reason: brrequest.ReasonInProgress, retryAfter: claimRetryAfter, final: true}
	case bridempotent.Ran:
		return ending{fate: brrequest.FateRan, reason: brrequest.ReasonAnswerNotKept, final: true}
	default:
		return ending{fate: brrequest.FateUnknown, reason: brrequest.ReasonOutcomeUnknown, final: true}
	}
}

// replay sends the stored answer of the request that ran.
func replay(j *job, record brclaim.Record) ending {
	kept, ok := record.Answer().Get()
	if !ok {
		return ending{fate: brrequest.FateRan, reason: brrequest.ReasonAnswerNotKept, final: true}
	}
	fields := kept.Fields().Clone()
	fields.Set(fieldReplayed, "1")
	answer := brmessage.NewAnswer(kept.Status(), fields, io.NopCloser(bytes.NewReader(kept.Body())), nil)
	end := ending{fate: brrequest.FateRan, started: true, final: true, status: kept.Status()}
	if err := relay(answer, j.writer); err != nil {
		end.reason = brrequest.ReasonCallerGone
		return end
	}
	end.whole = true
	return end
}
