package brrequest

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// Fate states whether a request was executed by a backend server.
type Fate string

// The fates of a request.
const (
	// FateNotRun means that no byte of the request can have reached a
	// server, or that the server refused it before executing it.
	FateNotRun Fate = "not-run"
	// FateRan means that a server responded to the request.
	FateRan Fate = "ran"
	// FateUnknown means that a server may or may not have executed the request.
	FateUnknown Fate = "unknown"
)

// Reason states why a request was refused or failed.
type Reason string

// The reasons for refusals and failures.
const (
	ReasonNone            Reason = ""
	ReasonNoConfiguration Reason = "no-configuration"
	ReasonNoRoute         Reason = "no-route"
	ReasonNoKey           Reason = "no-key"
	ReasonUnknownKey      Reason = "unknown-key"
	// ReasonKeyUnconfirmed means that the VM could not confirm that the key is still valid.
	ReasonKeyUnconfirmed Reason = "key-unconfirmed"
	// ReasonKeyRevoked means that the key was revoked, or could no longer be confirmed,
	// while the request ran.
	ReasonKeyRevoked         Reason = "key-withdrawn"
	ReasonTooManyUnknownKeys Reason = "too-many-unknown-keys"
	ReasonOverRate           Reason = "over-rate"
	ReasonOverloaded         Reason = "overloaded"
	ReasonNoServer           Reason = "no-server"
	ReasonLeaving            Reason = "vm-leaving"
	ReasonDeadline           Reason = "deadline-passed"
	ReasonBodyTooLarge       Reason = "body-too-large"
	// ReasonBodiesTooLarge means that the bodies in progress left no memory for this one.
	ReasonBodiesTooLarge Reason = "bodies-too-large"
	// ReasonTooManyRequests means that the VM has its maximum number of requests in progress.
	ReasonTooManyRequests Reason = "too-many-requests"
	ReasonServerFailed    Reason = "server-failed"
	ReasonCallerGone      Reason = "caller-gone"
	// ReasonPoison means that requests with this fingerprint crash servers.
	ReasonPoison Reason = "poison"
	// ReasonPoisonSuspect means that the request is suspected of crashing servers, and that
	// another suspect is running.
	ReasonPoisonSuspect Reason = "poison-suspect"
	// ReasonInProgress means that a request with the same idempotency key is running.
	ReasonInProgress Reason = "in-progress"
	// ReasonOutcomeUnknown means that an earlier request with the same idempotency key may
	// have run.
	ReasonOutcomeUnknown Reason = "outcome-unknown"
	// ReasonResponseNotStored means that an earlier request with the same idempotency key ran
	// and its response is not stored.
	ReasonResponseNotStored Reason = "answer-not-kept"
	// ReasonClaimsUnavailable means that the idempotency key could not be claimed.
	ReasonClaimsUnavailable Reason = "claims-unavailable"
	// ReasonIdempotencyKeyInvalid means that the idempotency key is malformed or given twice.
	ReasonIdempotencyKeyInvalid Reason = "idempotency-key-invalid"
	// ReasonIdempotencyKeyReused means that a different request had the same idempotency key.
	ReasonIdempotencyKeyReused Reason = "idempotency-key-reused"
)

// Decision is the result of admission control for a request.
type Decision struct {
	reason       Reason
	retryAfter   time.Duration
	organisation string
	route        brconfig.Route
	generation   uint64
	weight       int
}

// Admit returns the decision to admit a request of an organisation, which is ""
// on a public route.
func Admit(organisation string, route brconfig.Route, generation uint64) Decision {
	return Decision{organisation: organisation, route: route, generation: generation, weight: 1}
}

// WithWeight returns the decision with the organisation's weight in fair queues.
func (d Decision) WithWeight(weight int) Decision {
	d.weight = weight
	return d
}

// Refuse returns the decision to refuse a request, with the time after which the
// caller may retry, or 0 for no advice.
func Refuse(reason Reason, organisation string, retryAfter time.Duration) Decision {
	return Decision{reason: reason, organisation: organisation, retryAfter: retryAfter}
}

// Admitted reports whether the request may run.
func (d Decision) Admitted() bool { return d.reason == ReasonNone }

// Reason returns why the request was refused.
func (d Decision) Reason() Reason { return d.reason }

// RetryAfter returns the time after which the caller may retry, or 0 for no advice.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Organisation returns the organisation whose API key the request carried.
func (d Decision) Organisation() string { return d.organisation }

// Route returns the route of an admitted request.
func (d Decision) Route() brconfig.Route { return d.route }

// Weight returns the organisation's weight in fair queues.
func (d Decision) Weight() int { return d.weight }

// Generation returns the generation of the configuration that the decision is based on.
func (d Decision) Generation() uint64 { return d.generation }
