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
	// FateRan means that a server answered the request.
	FateRan Fate = "ran"
	// FateUnknown means that a server may or may not have executed the request.
	FateUnknown Fate = "unknown"
)

// Reason is the cause for which a request was refused or failed.
type Reason string

// The reasons for refusals and failures.
const (
	ReasonNone                  Reason = ""
	ReasonNoConfiguration       Reason = "no-configuration"
	ReasonNoRoute               Reason = "no-route"
	ReasonNoKey                 Reason = "no-key"
	ReasonUnknownKey            Reason = "unknown-key"
	ReasonKeyUnconfirmed        Reason = "key-unconfirmed"
	ReasonKeyWithdrawn          Reason = "key-withdrawn"
	ReasonTooManyUnknownKeys    Reason = "too-many-unknown-keys"
	ReasonOverRate              Reason = "over-rate"
	ReasonOverloaded            Reason = "overloaded"
	ReasonNoServer              Reason = "no-server"
	ReasonLeaving               Reason = "vm-leaving"
	ReasonDeadline              Reason = "deadline-passed"
	ReasonBodyTooLarge          Reason = "body-too-large"
	ReasonServerFailed          Reason = "server-failed"
	ReasonCallerGone            Reason = "caller-gone"
	ReasonPoison                Reason = "poison"
	ReasonPoisonSuspect         Reason = "poison-suspect"
	ReasonInProgress            Reason = "in-progress"
	ReasonOutcomeUnknown        Reason = "outcome-unknown"
	ReasonAnswerNotKept         Reason = "answer-not-kept"
	ReasonClaimsUnavailable     Reason = "claims-unavailable"
	ReasonIdempotencyKeyInvalid Reason = "idempotency-key-invalid"
	ReasonIdempotencyKeyReused  Reason = "idempotency-key-reused"
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

// Admit returns the verdict that admits a request of an organisation, which is ""
// on a public route.
func Admit(organisation string, route brconfig.Route, generation uint64) Decision {
	return Decision{organisation: organisation, route: route, generation: generation, weight: 1}
}

// WithWeight returns the verdict with the organisation's weight in fair queues.
func (d Decision) WithWeight(weight int) Decision {
	d.weight = weight
	return d
}

// Refuse returns the verdict that rejects a request, with the time after which
// the caller may retry; 0 gives no advice.
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

// Generation returns the generation of the configuration behind the verdict.
func (d Decision) Generation() uint64 { return d.generation }
