package bradmission

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/decide/brkey"
	"bergamotroad.example/bergamotroad/internal/decide/brlockout"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// authenticator authenticates requests: it maps the API key to an organisation.
type authenticator struct {
	snapshot  *brconfig.Snapshot
	keys      *brkey.Keychain
	freshness brkey.Freshness
	lockout   *brlockout.Limiter
}

// authFailure describes why a request could not be authenticated.
type authFailure struct {
	reason       brrequest.Reason
	organisation string
	retryAfter   time.Duration
}

// unconfirmedRetryAfter is the retry delay sent to callers while the API keys known to
// this VM are not confirmed as current. Confirmation usually succeeds again within it.
const unconfirmedRetryAfter = time.Second

func newAuthenticator() *authenticator {
	return &authenticator{lockout: brlockout.NewLimiter(), keys: brkey.NewKeychain(brconfig.NewSnapshot())}
}

func (a *authenticator) update(snapshot *brconfig.Snapshot) {
	a.snapshot = snapshot
	a.keys = a.keys.Advance(snapshot)
}

// Confirm records that the configuration held by this VM was current at the given
// time: no newer change had been accepted.
func (a *Admission) Confirm(at time.Time) {
	_ = a.duty.Queue().Send(message{operation: func(h *handler) { h.authenticator.freshness.Confirm(at) }})
}

// authenticate returns the organisation that owns the API key of a request, or the
// reason why the request cannot be authenticated.
func (a *authenticator) authenticate(request brrequest.Request, now time.Time) (brconfig.Organisation, authFailure) {
	hash := request.KeyHash()
	if hash.IsZero() {
		return brconfig.Organisation{}, authFailure{reason: brrequest.ReasonNoKey}
	}
	if wait, blocked := a.lockout.Blocked(request.Client(), hash, now); blocked {
		return brconfig.Organisation{}, authFailure{reason: brrequest.ReasonTooManyUnknownKeys, retryAfter: wait}
	}
	name, ok := a.keys.Organisation(hash).Get()
	if !ok {
		a.lockout.RecordFailure(request.Client(), now)
		return brconfig.Organisation{}, authFailure{reason: brrequest.ReasonUnknownKey}
	}
	a.lockout.RecordSuccess(request.Client(), hash)
	owner, _ := a.snapshot.Organisations().Get(name).Get()
	if !a.freshness.Allows(owner, now) {
		return brconfig.Organisation{}, authFailure{
			reason:       brrequest.ReasonKeyUnconfirmed,
			organisation: name,
			retryAfter:   unconfirmedRetryAfter,
		}
	}
	return owner, authFailure{}
}
